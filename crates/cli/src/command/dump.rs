//! `shallotflow dump PROCESS`.

use crate::connect::send;
use crate::error::{Error, Result};
use crate::output::{Format, Output, format};
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
    pub(super) format: Format,
    /// Operators' address of the process, ip:port
    #[bpaf(positional("PROCESS"))]
    process: SocketAddr,
}

/// Prints the state of a process, as JSON even without `--json`.
///
/// # Errors
///
/// Fails if the process does not respond.
pub(super) async fn run(arguments: Arguments) -> Result<Output> {
    let request = Request::get("/dump")
        .body(Body::Empty)
        .map_err(|error| Error::System(error.to_string()))?;
    let response = send(arguments.process, request).await?;
    if !response.status.is_success() {
        return Err(Error::Unreachable {
            address: response.address.to_string(),
            detail: format!(
                "answers {}; give the operators' address of a process",
                response.status
            ),
        });
    }
    let json: Value = response.json()?;
    Ok(Output { text: format!("{json:#}\n"), json, exit_code: 0 })
}
