use super::about;
use crate::answer::{Answer, Output, output};
use crate::connect::{Callers, callers};
use crate::error::Result;
use bpaf::Bpaf;
use http::Method;
use shallotflow_core::graph::Id;

/// Arguments of `graph status`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(status))]
pub struct Status {
    #[bpaf(external)]
    pub(super) output: Output,
    #[bpaf(external(callers))]
    entry: Callers,
    /// The kind of work
    #[bpaf(positional("KIND"))]
    kind: String,
    /// The job's identifier, as `graph submit` printed it
    #[bpaf(positional("ID"))]
    id: Id,
}

/// Shows a job.
///
/// # Errors
///
/// Gives the problem that the entry answers with.
pub(super) async fn run(arguments: Status) -> Result<Answer> {
    about::ask(&arguments.entry, Method::GET, &arguments.kind, arguments.id).await
}
