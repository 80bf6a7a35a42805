//! `shallotflow status ID`.

use super::job;
use crate::answer::{Answer, Output, output};
use crate::connect::{Callers, callers};
use crate::error::{Error, Result};
use bpaf::Bpaf;
use http::{Method, Request};
use shallotflow_wire::http::body::Body;

/// Arguments of `status`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(arguments))]
pub struct Arguments {
    #[bpaf(external)]
    pub(super) output: Output,
    #[bpaf(external(callers))]
    entry: Callers,
    /// The job's identifier, as `submit` printed it
    #[bpaf(positional("JOB"))]
    job: String,
}

/// Shows a job.
///
/// # Errors
///
/// Gives the problem that the entry answers with.
pub(super) async fn run(arguments: Arguments) -> Result<Answer> {
    ask(&arguments.entry, Method::GET, &arguments.job).await
}

/// Sends a request about a job and shows the record in the answer.
pub(super) async fn ask(entry: &Callers, method: Method, job: &str) -> Result<Answer> {
    let request = Request::builder().method(method).uri(format!("/jobs/{job}")).body(Body::Empty);
    let request = request
        .map_err(|error| Error::Argument(format!("`{job}` is no job identifier: {error}")))?;
    Ok(job::answer(&entry.send(request).await?.json()?))
}
