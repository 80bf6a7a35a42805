//! `shallotflow status ID`.

use super::job;
use crate::connect::{Entry, entry};
use crate::error::{Error, Result};
use crate::output::{Format, Output, format};
use bpaf::Bpaf;
use http::{Method, Request};
use shallotflow_wire::http::body::Body;

/// Arguments of `status`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(arguments))]
pub struct Arguments {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external(entry))]
    entry: Entry,
    /// Job identifier, as printed by `submit`
    #[bpaf(positional("JOB"))]
    job: String,
}

/// Shows the state of a job.
///
/// # Errors
///
/// Returns the problem that the entry reports.
pub(super) async fn run(arguments: Arguments) -> Result<Output> {
    call(&arguments.entry, Method::GET, &arguments.job).await
}

/// Sends a request for a job and formats the record in the response.
pub(super) async fn call(entry: &Entry, method: Method, job: &str) -> Result<Output> {
    let request = Request::builder().method(method).uri(format!("/jobs/{job}")).body(Body::Empty);
    let request = request.map_err(|error| {
        Error::Argument(format!("`{job}` is not a valid job identifier: {error}"))
    })?;
    Ok(job::output(&entry.send(request).await?.json()?))
}
