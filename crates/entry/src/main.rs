//! Runs an entry as a process.

use shallotflow_entry::{Settings, run};
use shallotflow_runtime::process::Process;
use std::process::ExitCode;

fn main() -> ExitCode {
    let process = Process {
        name: "shallotflow-entry",
        about: "Takes callers' requests, routes quick work and owns batch ledgers.",
        load: Settings::load,
    };
    process.main(run)
}
