//! The command-line program `shallotflow-bench`.

use shallotflow_bench::command::{self, Command};
use std::process::ExitCode;

fn main() -> ExitCode {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::MoreSevere(spdlog::Level::Warn));
    let command: Command = command::command().run();
    match command.run() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("shallotflow-bench: {error:#}");
            ExitCode::FAILURE
        }
    }
}
