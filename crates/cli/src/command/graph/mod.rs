//! `shallotflow graph submit|status|cancel|waiting`.

mod about;
mod cancel;
mod status;
mod submit;
mod waiting;

use crate::answer::{Answer, Output};
use crate::error::Result;
use bpaf::Bpaf;
use cancel::{Cancel, cancel};
use status::{Status, status};
use submit::{Submit, submit};
use waiting::{Waiting, waiting};

/// What to do with jobs of several tasks.
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
    pub(super) fn output(&self) -> Output {
        match self {
            Self::Submit(arguments) => arguments.output,
            Self::Status(arguments) => arguments.output,
            Self::Cancel(arguments) => arguments.output,
            Self::Waiting(arguments) => arguments.output,
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
        Action::Submit(arguments) => submit::run(arguments).await,
        Action::Status(arguments) => status::run(arguments).await,
        Action::Cancel(arguments) => cancel::run(arguments).await,
        Action::Waiting(arguments) => waiting::run(arguments).await,
    }
}
