//! The `shallotflow` program.

use shallotflow_cli::command::{Command, command};
use shallotflow_cli::{execute, print};
use std::process::ExitCode;

fn main() -> ExitCode {
    let command: Command = command().run();
    let output = command.output();
    print(execute(command), output)
}
