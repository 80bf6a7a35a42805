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
use bpaf::{Args, ParseFailure};
use command::{Command, command};
use error::{Error, Result};

/// Columns of help texts and messages about arguments.
const COLUMNS: usize = 100;
const EXIT_REFUSED: u8 = 2;

/// Runs the command that `arguments` name, prints its result, and gives the exit code.
pub fn main(arguments: Args<'_>) -> u8 {
    match command().run_inner(arguments) {
        Ok(command) => {
            let output = command.output();
            print(execute(command), output)
        }
        Err(failure) => {
            failure.print_message(COLUMNS);
            if matches!(failure, ParseFailure::Stderr(_)) { EXIT_REFUSED } else { 0 }
        }
    }
}

/// Runs `command` to its end on a runtime of its own.
///
/// # Errors
///
/// Fails when the system gives no runtime, or with the error of the command.
pub fn execute(command: Command) -> Result<Answer> {
    let run = shallotflow_runtime::executor::run(command.run());
    run.map_err(|error| Error::System(error.to_string()))?
}

fn print(result: Result<Answer>, output: Output) -> u8 {
    match result {
        Ok(answer) => {
            print!("{}", answer.render(output));
            0
        }
        Err(error) => {
            eprint!("{}", error.render(output));
            error.exit_code()
        }
    }
}
