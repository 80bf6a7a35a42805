use super::api;
use crate::connect::{Entry, entry, env};
use crate::error::{Error, Result};
use crate::output::{Format, Output, format};
use bpaf::Bpaf;
use http::Request;
use shallotflow_core::graph::{Id, Spec};
use shallotflow_wire::header;
use shallotflow_wire::http::body::Body;
use std::path::PathBuf;

/// Arguments of `graph submit`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(submit))]
pub struct Submit {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external(entry))]
    entry: Entry,
    /// Caller that submits the job; the current user if not given
    #[bpaf(argument("NAME"), optional, parse(env::caller))]
    caller: String,
    /// Job identifier, 16 hexadecimal digits; a new one if not given
    #[bpaf(argument("ID"))]
    id: Option<Id>,
    /// Kind of work
    #[bpaf(positional("KIND"))]
    kind: String,
    /// JSON file with the job's text and steps
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Submits a job; submissions with the same identifier are idempotent.
///
/// # Errors
///
/// Fails if the file is invalid, or returns the problem that the entry reports.
pub(super) async fn run(arguments: Submit) -> Result<Output> {
    let body = read(&arguments.file)?;
    let id = arguments.id.unwrap_or_else(|| Id(rand::random()));
    let request = Request::put(api::path(&arguments.kind, id))
        .header("content-type", "application/json")
        .header(header::CALLER, &arguments.caller)
        .body(Body::from(body))
        .map_err(|error| Error::Argument(format!("kind or caller is not accepted: {error}")))?;
    match arguments.entry.send(request).await {
        Err(Error::Unreachable { address, detail }) => {
            let detail = format!("{detail}; submit again with --id {id}");
            Err(Error::Unreachable { address, detail })
        }
        response => api::output(&response?),
    }
}

/// Reads a job file and validates everything that needs no entry.
fn read(file: &PathBuf) -> Result<String> {
    let invalid =
        |error: &dyn std::fmt::Display| Error::Argument(format!("{}: {error}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|error| invalid(&error))?;
    let spec: Spec = serde_json::from_str(&text).map_err(|error| invalid(&error))?;
    spec.check().map_err(|error| invalid(&error))?;
    Ok(text)
}
