//! `shallotflow except add|list|remove`.

mod add;
mod list;
mod remove;

pub(super) use add::{add_section, expiry, section};
pub(super) use remove::remove_by_id;

use crate::answer::{Answer, Output};
use crate::error::Result;
use add::{Add, add};
use bpaf::Bpaf;
use list::{List, list};
use remove::{Remove, remove};

/// What to do with exceptions.
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
    pub(super) fn output(&self) -> Output {
        match self {
            Self::Add(arguments) => arguments.output,
            Self::List(arguments) => arguments.output,
            Self::Remove(arguments) => arguments.output,
        }
    }
}

/// Carries out an action.
///
/// # Errors
///
/// Each error names its remedy and has an exit code.
pub(super) async fn run(action: Action) -> Result<Answer> {
    match action {
        Action::Add(arguments) => add::run(arguments).await,
        Action::List(arguments) => list::run(arguments).await,
        Action::Remove(arguments) => remove::run(arguments).await,
    }
}
