//! The `shallotflow` command-line program.

use bpaf::Args;
use std::process::ExitCode;

fn main() -> ExitCode {
    ExitCode::from(shallotflow_cli::main(Args::current_args()))
}
