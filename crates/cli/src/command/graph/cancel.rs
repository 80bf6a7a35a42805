use super::about;
use crate::answer::{Answer, Output, output};
use crate::connect::{Callers, callers};
use crate::error::Result;
use bpaf::Bpaf;
use http::Method;
use shallotflow_core::graph::Id;

/// Arguments of `graph cancel`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(cancel))]
pub struct Cancel {
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

/// Cancels a job; a job that has ended stays as it is.
///
/// # Errors
///
/// Gives the problem that the entry answers with.
pub(super) async fn run(arguments: Cancel) -> Result<Answer> {
    about::ask(&arguments.entry, Method::DELETE, &arguments.kind, arguments.id).await
}
