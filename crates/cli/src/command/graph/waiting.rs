use super::api;
use crate::connect::{Entry, entry};
use crate::error::Result;
use crate::output::{Format, Output, format};
use bpaf::Bpaf;
use http::Method;
use serde_json::Value;

/// Arguments of `graph waiting`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(waiting))]
pub struct Waiting {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external(entry))]
    entry: Entry,
    /// Kind of work
    #[bpaf(positional("KIND"))]
    kind: String,
}

/// Counts the accepted jobs of a kind that have no started task.
///
/// # Errors
///
/// Returns the problem that the entry reports.
pub(super) async fn run(arguments: Waiting) -> Result<Output> {
    let request = api::request(Method::GET, &format!("/graphs/{}", arguments.kind))?;
    let count: Value = arguments.entry.send(request).await?.json()?;
    let row = vec![arguments.kind, count["waiting"].to_string()];
    Ok(Output::table(&["KIND", "WAITING"], vec![row], "", count))
}
