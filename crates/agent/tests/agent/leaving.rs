//! Graceful stop of an agent and drain by configuration.

use crate::support::{Agent, Entry, Script, Worker, grant, request, run, until, worker_settings};
use futures_util::future::join;
use shallotflow_standin::audit::Audit;
use shallotflow_wire::proto::TaskPhase;

#[test]
fn a_leaving_agent_answers_requests_in_progress() {
    run(async {
        let worker = Worker::start(worker_settings(), Audit::default());
        let entry = Entry::start(Script::default());
        let mut agent = Agent::start(&worker, &entry);
        until("a report", || !entry.script().reports.is_empty()).await;
        let request = request(agent.address, "in progress", &[("standin-run-ms", "100")]);
        let stop = async {
            until("a start", || worker.audit.record().requests == 1).await;
            agent.leave().await.expect("clean shutdown");
        };
        let (answer, ()) = join(request, stop).await;
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body, "in progress");
        assert!(entry.script().reports.last().expect("a report").leaving);
    });
}

#[test]
fn a_leaving_agent_checkpoints_its_tasks_and_takes_no_new_ones() {
    run(async {
        let worker = Worker::start(worker_settings(), Audit::default());
        let script = Script { grants: vec![grant("j1", 60_000)], ..Script::default() };
        let entry = Entry::start(script);
        let mut agent = Agent::start(&worker, &entry);
        until("a start", || worker.audit.record().running("j1") == 1).await;
        agent.leave().await.expect("clean shutdown");
        let script = entry.script();
        assert_eq!(script.phase("j1"), Some(TaskPhase::Evicted));
        let evicted =
            script.statuses.iter().rev().find(|status| status.phase() == TaskPhase::Evicted);
        assert!(!evicted.expect("an evicted task").checkpoint.is_empty());
        let last = script.reports.last().expect("a report");
        assert_eq!(last.load.and_then(|load| load.batch_room).map(|room| room.slots), Some(0));
    });
}

#[test]
fn a_configuration_that_drains_the_worker_is_applied_and_never_reverted() {
    run(async {
        let worker = Worker::start(worker_settings(), Audit::default());
        let script = Script { grants: vec![grant("j1", 60_000)], ..Script::default() };
        let entry = Entry::start(script);
        let agent = Agent::start(&worker, &entry);
        until("a start", || worker.audit.record().running("j1") == 1).await;
        entry.script().text = "[defaults]\ndrain = true\n".to_owned();
        entry.script().revision = 2;
        until("the eviction", || entry.script().phase("j1") == Some(TaskPhase::Evicted)).await;
        assert_eq!(agent.request("new", &[]).await.header("shallotflow-outcome"), "not-run");
        entry.script().text = String::new();
        entry.script().revision = 1;
        let reports = entry.script().reports.len();
        until("more reports", || entry.script().reports.len() > reports + 5).await;
        let script = entry.script();
        let last = script.reports.last().expect("a report");
        assert_eq!((last.config_revision, last.leaving), (2, true));
    });
}
