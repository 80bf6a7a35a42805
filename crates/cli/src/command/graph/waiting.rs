use super::about;
use crate::answer::{Answer, Output, output};
use crate::connect::{Callers, callers};
use crate::error::Result;
use bpaf::Bpaf;
use http::Method;
use serde_json::Value;

/// Arguments of `graph waiting`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(waiting))]
pub struct Waiting {
    #[bpaf(external)]
    pub(super) output: Output,
    #[bpaf(external(callers))]
    entry: Callers,
    /// The kind of work
    #[bpaf(positional("KIND"))]
    kind: String,
}

/// Counts the accepted jobs of a kind of which no task has started.
///
/// # Errors
///
/// Gives the problem that the entry answers with.
pub(super) async fn run(arguments: Waiting) -> Result<Answer> {
    let request = about::request(Method::GET, &format!("/graphs/{}", arguments.kind))?;
    let counted: Value = arguments.entry.send(request).await?.json()?;
    let row = vec![arguments.kind, counted["waiting"].to_string()];
    Ok(Answer::table(&["KIND", "WAITING"], vec![row], "", counted))
}
