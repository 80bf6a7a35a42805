//! Client of the callers' interface of an entry.

use super::env;
use super::http::{Response, send};
use crate::error::{Error, Result};
use bpaf::Bpaf;
use http::Request;
use shallotflow_core::problem::Problem;
use shallotflow_wire::http::body::Body;
use std::net::SocketAddr;

/// The address on which an entry serves callers.
#[derive(Clone, Copy, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(entry))]
pub struct Entry {
    /// Callers' address of an entry or of the balancer, ip:port
    #[bpaf(long("entry"), argument("ADDRESS"), optional, parse(or_env))]
    pub address: SocketAddr,
}

impl Entry {
    /// Sends a request and reads the response.
    ///
    /// # Errors
    ///
    /// Returns the problem that the entry reports, or the reason why it is unreachable.
    pub async fn send(&self, request: Request<Body>) -> Result<Response> {
        let response = send(self.address, request).await?;
        if response.status.is_success() {
            return Ok(response);
        }
        let problem: Problem = response.json()?;
        Err(Error::Problem(Box::new(problem)))
    }
}

fn or_env(given: Option<SocketAddr>) -> std::result::Result<SocketAddr, String> {
    let given = given.into_iter().collect();
    let mut addresses = env::addresses(given, "--entry", "SHALLOTFLOW_ENTRY")?;
    Ok(addresses.remove(0))
}
