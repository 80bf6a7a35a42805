//! The command line of operators and callers.
//!
//! - [`command`]: one module for each subcommand; [`command::Command`] combines them.
//! - [`change`]: changes of the fleet configuration in the store: compare-and-swap, merge, and
//!   recovery from lost responses.
//! - [`connect`]: clients of the store, of entries and of operators' listeners.
//! - [`output`]: command output, as a table or as JSON.
//! - [`error`]: command errors and their exit codes.
//! - [`mod@reference`]: the reference page of the command line.

pub mod change;
pub mod command;
pub mod connect;
pub mod error;
pub mod output;
pub mod reference;

use bpaf::{Args, ParseFailure};
use command::{Command, command};
use error::{Error, Result};
use output::{Format, Output};

/// Line width, in columns, of help texts and messages about arguments.
const MESSAGE_WIDTH: usize = 100;
const EXIT_REFUSED: u8 = 2;

/// Runs the command given by `arguments`, prints its result, and returns the exit code.
pub fn main(arguments: Args<'_>) -> u8 {
    match command().run_inner(arguments) {
        Ok(command) => {
            let format = command.format();
            print(execute(command), format)
        }
        Err(failure) => {
            failure.print_message(MESSAGE_WIDTH);
            if matches!(failure, ParseFailure::Stderr(_)) { EXIT_REFUSED } else { 0 }
        }
    }
}

/// Runs `command` to completion on a new runtime.
///
/// # Errors
///
/// Fails if the runtime cannot start, or with the error of the command.
pub fn execute(command: Command) -> Result<Output> {
    let run = shallotflow_runtime::executor::run(command.run());
    run.map_err(|error| Error::System(error.to_string()))?
}

fn print(result: Result<Output>, format: Format) -> u8 {
    match result {
        Ok(result) => {
            print!("{}", result.render(format));
            result.exit_code
        }
        Err(error) => {
            eprint!("{}", error.render(format));
            error.exit_code()
        }
    }
}
