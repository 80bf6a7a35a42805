//! The callers' interface of an entry.

use super::http::{Reply, send};
use super::variable;
use crate::error::{Error, Result};
use bpaf::Bpaf;
use http::Request;
use shallotflow_core::problem::Problem;
use shallotflow_wire::http::body::Body;
use std::net::SocketAddr;

/// Where callers connect.
#[derive(Clone, Copy, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(callers))]
pub struct Callers {
    /// Callers' address of an entry or of the balancer, ip:port
    #[bpaf(long("entry"), argument("ADDRESS"), optional, parse(or_variable))]
    pub address: SocketAddr,
}

impl Callers {
    /// Sends a request and reads its answer.
    ///
    /// # Errors
    ///
    /// Gives the problem that the entry answers with, or why it could not be reached.
    pub async fn send(&self, request: Request<Body>) -> Result<Reply> {
        let reply = send(self.address, request).await?;
        if reply.status.is_success() {
            return Ok(reply);
        }
        let problem: Problem = reply.json()?;
        Err(Error::Problem(Box::new(problem)))
    }
}

fn or_variable(given: Option<SocketAddr>) -> std::result::Result<SocketAddr, String> {
    let given = given.into_iter().collect();
    let mut addresses = variable::addresses(given, "--entry", "SHALLOTFLOW_ENTRY")?;
    Ok(addresses.remove(0))
}
