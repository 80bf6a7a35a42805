//! `shallotflow graph submit|status|cancel|waiting`.

mod api;
mod cancel;
mod status;
mod submit;
mod waiting;

use crate::error::Result;
use crate::output::{Format, Output};
use bpaf::Bpaf;
use cancel::{Cancel, cancel};
use status::{Status, status};
use submit::{Submit, submit};
use waiting::{Waiting, waiting};

/// Subcommands of `graph`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc, generate(action))]
pub enum Action {
    /// Submits a job of several tasks
    #[bpaf(command)]
    Submit(#[bpaf(external(submit))] Submit),
    /// Shows the state of a job of several tasks
    #[bpaf(command)]
    Status(#[bpaf(external(status))] Status),
    /// Cancels a job of several tasks
    #[bpaf(command)]
    Cancel(#[bpaf(external(cancel))] Cancel),
    /// Counts the jobs of a kind that wait for their first task
    #[bpaf(command)]
    Waiting(#[bpaf(external(waiting))] Waiting),
}

impl Action {
    pub(super) fn format(&self) -> Format {
        match self {
            Self::Submit(arguments) => arguments.format,
            Self::Status(arguments) => arguments.format,
            Self::Cancel(arguments) => arguments.format,
            Self::Waiting(arguments) => arguments.format,
        }
    }
}

/// Runs a subcommand of `graph`.
///
/// # Errors
///
/// Returns the error of the subcommand; it names the remedy and has an exit code.
pub(super) async fn run(action: Action) -> Result<Output> {
    match action {
        Action::Submit(arguments) => submit::run(arguments).await,
        Action::Status(arguments) => status::run(arguments).await,
        Action::Cancel(arguments) => cancel::run(arguments).await,
        Action::Waiting(arguments) => waiting::run(arguments).await,
    }
}
