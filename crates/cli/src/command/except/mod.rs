//! `shallotflow except add|list|remove`.

mod add;
mod drain;
mod list;
mod remove;

pub(super) use add::add_section;
pub(super) use drain::Drain;
pub(super) use remove::remove_by_id;

use crate::error::Result;
use crate::output::{Format, Output};
use add::{Add, add, expiry, section};
use bpaf::Bpaf;
use list::{List, list};
use remove::{Remove, remove};

/// Subcommands of `except`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(action))]
pub enum Action {
    /// Adds an exception
    #[bpaf(command)]
    Add(#[bpaf(external(add))] Add),
    /// Lists the exceptions
    #[bpaf(command)]
    List(#[bpaf(external(list))] List),
    /// Removes an exception
    #[bpaf(command)]
    Remove(#[bpaf(external(remove))] Remove),
}

impl Action {
    pub(super) fn format(&self) -> Format {
        match self {
            Self::Add(arguments) => arguments.format,
            Self::List(arguments) => arguments.format,
            Self::Remove(arguments) => arguments.format,
        }
    }
}

/// Runs a subcommand of `except`.
///
/// # Errors
///
/// Returns the error of the subcommand; it names the remedy and has an exit code.
pub(super) async fn run(action: Action) -> Result<Output> {
    match action {
        Action::Add(arguments) => add::run(arguments).await,
        Action::List(arguments) => list::run(arguments).await,
        Action::Remove(arguments) => remove::run(arguments).await,
    }
}
