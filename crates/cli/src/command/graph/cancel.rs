use super::api;
use crate::connect::{Entry, entry};
use crate::error::Result;
use crate::output::{Format, Output, format};
use bpaf::Bpaf;
use http::Method;
use shallotflow_core::graph::Id;

/// Arguments of `graph cancel`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(cancel))]
pub struct Cancel {
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

/// Cancels a job; a job that has ended is left unchanged.
///
/// # Errors
///
/// Returns the problem that the entry reports.
pub(super) async fn run(arguments: Cancel) -> Result<Output> {
    api::call(&arguments.entry, Method::DELETE, &arguments.kind, arguments.id).await
}
