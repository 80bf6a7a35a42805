//! Distribution of the fleet configuration to an agent.

use crate::support::{Agent, Entry, Script, Worker, run, until, worker_settings};
use shallotflow_standin::audit::Audit;

#[test]
fn a_large_configuration_does_not_delay_reports() {
    run(async {
        let worker = Worker::start(worker_settings(), Audit::default());
        // The size of some thousand exceptions; at the byte budget of reports it would take a minute.
        let text = format!("; {}\n[defaults]\nwatch_cap = 7\n", "x".repeat(400_000));
        let entry = Entry::start(Script { revision: 9, text, ..Script::default() });
        let _agent = Agent::start(&worker, &entry);
        let behind = || entry.script().reports.last().is_none_or(|last| last.config_revision != 9);
        until("the revision in a report", || !behind()).await;
        entry.script().reports.clear();
        until("more reports", || entry.script().reports.len() > 3).await;
    });
}
