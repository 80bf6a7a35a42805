use super::about;
use crate::answer::{Answer, Output, output};
use crate::connect::{Callers, callers, variable};
use crate::error::{Error, Result};
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
    pub(super) output: Output,
    #[bpaf(external(callers))]
    entry: Callers,
    /// Who submits; you, if not given
    #[bpaf(argument("NAME"), optional, parse(variable::caller))]
    caller: String,
    /// The job's identifier, 16 hexadecimal digits; a new one if not given
    #[bpaf(argument("ID"))]
    id: Option<Id>,
    /// The kind of work
    #[bpaf(positional("KIND"))]
    kind: String,
    /// JSON file with the job's text and steps
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Submits a job; the same identifier submits it once, however often it is sent.
///
/// # Errors
///
/// Names what is wrong in the file, or gives the problem that the entry answers with.
pub(super) async fn run(arguments: Submit) -> Result<Answer> {
    let body = read(&arguments.file)?;
    let id = arguments.id.unwrap_or_else(|| Id(rand::random()));
    let request = Request::put(about::path(&arguments.kind, id))
        .header("content-type", "application/json")
        .header(header::CALLER, &arguments.caller)
        .body(Body::from(body))
        .map_err(|error| Error::Argument(format!("kind or caller is not accepted: {error}")))?;
    match arguments.entry.send(request).await {
        Err(Error::Unreachable { address, detail }) => {
            let detail = format!("{detail}; submit again with --id {id}");
            Err(Error::Unreachable { address, detail })
        }
        reply => about::show(&reply?),
    }
}

/// Reads a job and checks what can be checked without an entry.
fn read(file: &PathBuf) -> Result<String> {
    let refused =
        |error: &dyn std::fmt::Display| Error::Argument(format!("{}: {error}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|error| refused(&error))?;
    let spec: Spec = serde_json::from_str(&text).map_err(|error| refused(&error))?;
    spec.check().map_err(|error| refused(&error))?;
    Ok(text)
}
