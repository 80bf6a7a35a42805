use super::api;
use crate::connect::{Entry, entry};
use crate::error::Result;
use crate::output::{Format, Output, format};
use bpaf::Bpaf;
use http::Method;
use shallotflow_core::graph::Id;

/// Arguments of `graph status`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(status))]
pub struct Status {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external(entry))]
    entry: Entry,
    /// Kind of work
    #[bpaf(positional("KIND"))]
    kind: String,
    /// Job identifier, as printed by `graph submit`
    #[bpaf(positional("ID"))]
    id: Id,
}

/// Shows the state of a job.
///
/// # Errors
///
/// Returns the problem that the entry reports.
pub(super) async fn run(arguments: Status) -> Result<Output> {
    api::call(&arguments.entry, Method::GET, &arguments.kind, arguments.id).await
}
