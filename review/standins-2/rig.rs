//! Stand-ins of the users' platform for the scripts of the second review: a store, workers and callers.
//!
//! `rig SCENARIO RECORD` starts the project's programs as separate processes on loopback addresses, plays the
//! scenario and writes what was sent, answered and run to RECORD. With `TROUBLE=0` it plays no disruption.
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the scenario could not run.

mod http;
mod json;
mod programs;
mod record;
mod scenarios;
mod store;
mod worker;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, path] = arguments.as_slice() else {
        eprintln!("usage: rig SCENARIO RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.note(&format!("scenario {scenario}, trouble {trouble}"));
    let outcome = scenarios::play(scenario, trouble, &record);
    let (status, text) = match outcome {
        Ok(broken) if broken.is_empty() => (0, "the rule held".to_owned()),
        Ok(broken) => (1, format!("broken: {}", broken.join("; "))),
        Err(error) => (2, format!("could not run: {error}")),
    };
    record.note(&text);
    println!("{text}");
    ExitCode::from(status)
}
