//! `shallotflow except remove ID`.

use super::super::apply;
use crate::answer::{Answer, Output, output};
use crate::change::{Current, Edit, Session, new_id};
use crate::connect::{Endpoints, endpoints};
use crate::error::{Error, Result};
use bpaf::Bpaf;
use shallotflow_core::fleet::Exception;
use shallotflow_core::ini::Document;
use shallotflow_core::name::Name;

/// Arguments of `except remove`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(remove))]
pub struct Remove {
    #[bpaf(external)]
    pub(super) output: Output,
    #[bpaf(external(endpoints))]
    store: Endpoints,
    /// Identifier of the change, to try the same change again
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
/// Fails when there is no such exception.
pub(super) async fn run(arguments: Remove) -> Result<Answer> {
    remove_by_id(&arguments.store, arguments.change, &arguments.id).await
}

/// Removes the section of an exception from the text.
pub(in crate::command) async fn remove_by_id(
    store: &Endpoints,
    change: Option<String>,
    id: &str,
) -> Result<Answer> {
    let client = store.client();
    let change = change.map_or_else(new_id, Name::from);
    let remove = |current: &Current| {
        let missing = || Error::NotFound(format!("no exception `{id}` exists; see `except list`"));
        without(&current.text, id)?.map(Edit::direct).ok_or_else(missing)
    };
    let applied = Session::new(&client).change(change, remove).await?;
    Ok(apply::answer(&applied))
}

/// `text` without the lines of one exception, `None` when it has no such exception.
fn without(text: &str, id: &str) -> Result<Option<String>> {
    let document = Document::parse(Current::SOURCE, text)?;
    let is_wanted = |name: &str| {
        let mut words = name.split_whitespace();
        words.next() == Some(Exception::SECTION) && words.next() == Some(id)
    };
    let Some(at) = document.sections.iter().position(|section| is_wanted(&section.name)) else {
        return Ok(None);
    };
    let first = document.sections[at].line as usize - 1;
    let next = document.sections.get(at + 1).map(|section| section.line as usize - 1);
    let lines: Vec<&str> = text.lines().collect();
    let rest = lines.get(next.unwrap_or(lines.len())..).unwrap_or_default();
    Ok(Some([&lines[..first], rest].concat().join("\n") + "\n"))
}
