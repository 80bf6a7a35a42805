//! `shallotflow except remove ID`.

use super::super::apply;
use crate::change::{Current, Edit, Session, new_id};
use crate::connect::{Endpoints, endpoints};
use crate::error::{Error, Result};
use crate::output::{Format, Output, format};
use bpaf::Bpaf;
use shallotflow_core::fleet::Exception;
use shallotflow_core::ini::Document;
use shallotflow_core::name::Name;

/// Arguments of `except remove`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(remove))]
pub struct Remove {
    #[bpaf(external)]
    pub(super) format: Format,
    #[bpaf(external(endpoints))]
    store: Endpoints,
    /// Change identifier, to retry the same change
    #[bpaf(argument("ID"))]
    change: Option<String>,
    /// Identifier of the exception
    #[bpaf(positional("ID"))]
    id: String,
}

/// Removes an exception.
///
/// # Errors
///
/// Fails if the exception does not exist.
pub(super) async fn run(arguments: Remove) -> Result<Output> {
    remove_by_id(&arguments.store, arguments.change, &arguments.id).await
}

/// Removes the section of an exception from the text.
pub(in crate::command) async fn remove_by_id(
    store: &Endpoints,
    change: Option<String>,
    id: &str,
) -> Result<Output> {
    let client = store.client();
    let change = change.map_or_else(new_id, Name::from);
    let remove = |current: &Current| {
        let missing = || Error::NotFound(format!("no exception `{id}` exists; see `except list`"));
        remove_section(&current.text, id)?.map(Edit::unmerged).ok_or_else(missing)
    };
    let applied = Session::new(&client).change(change, remove).await?;
    Ok(apply::output(&applied))
}

/// Returns `text` without the section of the exception `id`, or `None` if it has no such section.
fn remove_section(text: &str, id: &str) -> Result<Option<String>> {
    let document = Document::parse(Current::SOURCE, text)?;
    let is_match = |name: &str| {
        let mut words = name.split_whitespace();
        words.next() == Some(Exception::SECTION) && words.next() == Some(id)
    };
    let Some(at) = document.sections.iter().position(|section| is_match(&section.name)) else {
        return Ok(None);
    };
    let first = document.sections[at].line as usize - 1;
    let next = document.sections.get(at + 1).map(|section| section.line as usize - 1);
    let lines: Vec<&str> = text.lines().collect();
    let remainder = lines.get(next.unwrap_or(lines.len())..).unwrap_or_default();
    Ok(Some([&lines[..first], remainder].concat().join("\n") + "\n"))
}
