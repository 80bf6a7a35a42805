//! Restarts of agents and workers.

use crate::support::{Agent, Entry, Script, Worker, grant, run, until, worker_settings};
use shallotflow_standin::audit::Audit;
use shallotflow_wire::proto::TaskPhase;

#[test]
fn a_restarted_agent_takes_over_the_tasks_of_its_worker() {
    run(async {
        let worker = Worker::start(worker_settings(), Audit::default());
        let script = Script { grants: vec![grant("j1", 300)], ..Script::default() };
        let entry = Entry::start(script);
        let mut first = Agent::start(&worker, &entry);
        until("a start", || worker.audit.record().starts == 1).await;
        first.kill().await.expect("clean shutdown");
        let _second = Agent::start(&worker, &entry);
        until("the task's end", || entry.script().phase("j1") == Some(TaskPhase::Done)).await;
        let record = worker.audit.record();
        assert_eq!((record.starts, record.completions), (1, 1));
        assert_eq!(record.violations.total(), 0);
    });
}

#[test]
fn a_newer_agent_fences_the_older_one() {
    run(async {
        let worker = Worker::start(worker_settings(), Audit::default());
        let entry = Entry::start(Script::default());
        let mut first = Agent::start(&worker, &entry);
        until("a report", || !entry.script().reports.is_empty()).await;
        let second = Agent::start(&worker, &entry);
        assert!(first.ended().await.is_err());
        let answer = second.request("after the change", &[]).await;
        assert_eq!(answer.status, 200);
    });
}

#[test]
fn tasks_of_a_restarted_worker_are_reported_as_lapsed() {
    run(async {
        let mut worker = Worker::start(worker_settings(), Audit::default());
        let script = Script { grants: vec![grant("j1", 60_000)], ..Script::default() };
        let entry = Entry::start(script);
        let _agent = Agent::start(&worker, &entry);
        until("a start", || worker.audit.record().starts == 1).await;
        worker.restart().await;
        until("a lapse", || entry.script().phase("j1") == Some(TaskPhase::Lapsed)).await;
        assert_eq!(worker.audit.record().running("j1"), 0);
    });
}
