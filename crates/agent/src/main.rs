//! The `shallotflow-agent` program.

use shallotflow_core::settings::agent::Settings;
use shallotflow_runtime::process::Process;
use std::process::ExitCode;

fn main() -> ExitCode {
    let process = Process {
        name: "shallotflow-agent",
        about: "Takes requests and batch tasks for one worker.",
        load: Settings::load,
    };
    process.main(shallotflow_agent::run)
}
