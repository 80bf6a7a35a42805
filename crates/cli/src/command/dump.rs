//! `shallotflow dump PROCESS`.

use crate::answer::{Answer, Output, output};
use crate::connect::send;
use crate::error::{Error, Result};
use bpaf::Bpaf;
use http::Request;
use serde_json::Value;
use shallotflow_wire::http::body::Body;
use std::net::SocketAddr;

/// Arguments of `dump`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(arguments))]
pub struct Arguments {
    #[bpaf(external)]
    pub(super) output: Output,
    /// Operators' address of the process, ip:port
    #[bpaf(positional("PROCESS"))]
    process: SocketAddr,
}

/// Prints the state of a process; it is JSON with and without `--json`.
///
/// # Errors
///
/// Fails when the process does not answer.
pub(super) async fn run(arguments: Arguments) -> Result<Answer> {
    let request = Request::get("/dump")
        .body(Body::Empty)
        .map_err(|error| Error::System(error.to_string()))?;
    let reply = send(arguments.process, request).await?;
    if !reply.status.is_success() {
        return Err(Error::Unreachable {
            address: reply.address.to_string(),
            detail: format!("answers {}; give the operators' address of a process", reply.status),
        });
    }
    let json: Value = reply.json()?;
    Ok(Answer { text: format!("{json:#}\n"), json })
}
