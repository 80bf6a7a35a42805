//! The command line of operators and callers.
//!
//! - [`command`]: one module for each subcommand; [`command::Command`] is all of them.
//! - [`change`]: changes of the fleet configuration in the store: compare-and-swap, merge, and
//!   settling of lost answers.
//! - [`connect`]: addresses of the store, of entries and of operators' listeners.
//! - [`answer`]: what a command prints, as a table or as JSON.
//! - [`error`]: why a command failed, with its exit code.
//! - [`reference`]: the reference page of the command line.

pub mod answer;
pub mod change;
pub mod command;
pub mod connect;
pub mod error;
pub mod reference;

use answer::{Answer, Output};
use command::Command;
use error::{Error, Result};
use std::process::ExitCode;

/// Runs a command to its end on a runtime of this thread.
///
/// # Errors
///
/// Gives the error of the command.
pub fn execute(command: Command) -> Result<Answer> {
    let run = shallotflow_runtime::executor::run(command.run());
    run.map_err(|error| Error::System(error.to_string()))?
}

/// Prints the result of a command and gives its exit code.
pub fn print(result: Result<Answer>, output: Output) -> ExitCode {
    match result {
        Ok(answer) => {
            print!("{}", answer.render(output));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprint!("{}", error.render(output));
            ExitCode::from(error.exit_code())
        }
    }
}
