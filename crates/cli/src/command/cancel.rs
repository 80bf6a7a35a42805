//! `shallotflow cancel ID`.

use super::status;
use crate::answer::{Answer, Output, output};
use crate::connect::{Callers, callers};
use crate::error::Result;
use bpaf::Bpaf;
use http::Method;

/// Arguments of `cancel`.
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

/// Cancels a job; a job that has ended stays as it is.
///
/// # Errors
///
/// Gives the problem that the entry answers with.
pub(super) async fn run(arguments: Arguments) -> Result<Answer> {
    status::ask(&arguments.entry, Method::DELETE, &arguments.job).await
}
