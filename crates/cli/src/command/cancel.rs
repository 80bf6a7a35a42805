//! `shallotflow cancel ID`.

use super::status;
use crate::connect::{Entry, entry};
use crate::error::Result;
use crate::output::{Format, Output, format};
use bpaf::Bpaf;
use http::Method;

/// Arguments of `cancel`.
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

/// Cancels a job; a job that has ended is left unchanged.
///
/// # Errors
///
/// Returns the problem that the entry reports.
pub(super) async fn run(arguments: Arguments) -> Result<Output> {
    status::call(&arguments.entry, Method::DELETE, &arguments.job).await
}
