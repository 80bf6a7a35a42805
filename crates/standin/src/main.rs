//! Entry point of the `shallotflow-standin` program.

use shallotflow_core::settings::standin::Settings;
use shallotflow_runtime::process::Process;
use std::process::ExitCode;

fn main() -> ExitCode {
    let process = Process {
        name: "shallotflow-standin",
        about: "Stands in for the platform: store, worker and target.",
        load: Settings::load,
    };
    process.main(shallotflow_standin::run)
}
