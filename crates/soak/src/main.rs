//! Entry point of the `shallotflow-soak` program.

use shallotflow_soak::{options, run};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run::run(&options::options().run()) {
        Ok(summary) => {
            println!("{summary}");
            if summary.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
        }
        Err(error) => {
            eprintln!("shallotflow-soak: {error:#}");
            ExitCode::from(2)
        }
    }
}
