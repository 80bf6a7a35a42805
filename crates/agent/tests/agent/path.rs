//! Requests and tasks from the entry through the agent to the worker.

use crate::support::{Agent, Entry, Script, Worker, grant, run, until, worker_settings};
use shallotflow_standin::audit::Audit;
use shallotflow_wire::proto::TaskPhase;

#[test]
fn a_request_reaches_the_target_and_its_answer_carries_the_load() {
    run(async {
        let worker = Worker::start(worker_settings(), Audit::default());
        let entry = Entry::start(Script::default());
        let agent = Agent::start(&worker, &entry);
        until("a report", || !entry.script().reports.is_empty()).await;
        let answer = agent.request("a label", &[("shallotflow-request-id", "r1")]).await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body, "a label");
        assert_eq!(answer.header("shallotflow-outcome"), "done");
        assert_eq!(answer.header("shallotflow-worker"), "worker-1");
        assert_eq!(answer.header("shallotflow-load").split(',').count(), 5);
        assert_eq!(worker.audit.record().requests, 1);
    });
}

#[test]
fn a_granted_task_runs_once_and_is_reported_until_it_is_settled() {
    run(async {
        let worker = Worker::start(worker_settings(), Audit::default());
        let script = Script { grants: vec![grant("j1", 20)], ..Script::default() };
        let entry = Entry::start(script);
        let _agent = Agent::start(&worker, &entry);
        until("the task's end", || entry.script().phase("j1") == Some(TaskPhase::Done)).await;
        let settled = || entry.script().reports.last().is_some_and(|last| last.tasks.is_empty());
        until("the task is removed from the reports", settled).await;
        let record = worker.audit.record();
        assert_eq!((record.starts, record.completions), (1, 1));
        assert_eq!(record.violations.total(), 0);
    });
}
