//! Leases, fencing and the limits of the worker.

use crate::support::{Agent, Entry, Script, Worker, grant, run, until, worker_settings};
use shallotflow_standin::audit::Audit;
use shallotflow_wire::proto::{Grant, Stop, TaskPhase};
use std::time::Duration;

#[test]
fn a_task_is_checkpointed_and_stopped_when_no_entry_renews_its_lease() {
    run(async {
        let worker = Worker::start(worker_settings(), Audit::default());
        let script =
            Script { lease_ms: 300, grants: vec![grant("j1", 60_000)], ..Script::default() };
        let entry = Entry::start(script);
        let _agent = Agent::start(&worker, &entry);
        until("a start", || worker.audit.record().running("j1") == 1).await;
        // Renewals keep the task running for longer than one lease.
        let reports = entry.script().reports.len();
        until("renewals", || entry.script().reports.len() > reports + 10).await;
        assert_eq!(worker.audit.record().running("j1"), 1);
        entry.script().down = true;
        until("its stop", || worker.audit.record().running("j1") == 0).await;
        entry.script().down = false;
        let ended = || {
            let phase = entry.script().phase("j1");
            // The agent checkpoints the task in the last part of its lease; if it does not, the
            // worker ends the task when the lease expires.
            matches!(phase, Some(TaskPhase::Evicted | TaskPhase::Lapsed))
        };
        until("its report", ended).await;
    });
}

#[test]
fn the_worker_stops_a_task_when_its_agent_is_dead() {
    run(async {
        let worker = Worker::start(worker_settings(), Audit::default());
        let script =
            Script { lease_ms: 200, grants: vec![grant("j1", 60_000)], ..Script::default() };
        let entry = Entry::start(script);
        let mut agent = Agent::start(&worker, &entry);
        until("a start", || worker.audit.record().running("j1") == 1).await;
        agent.kill().await.expect("clean shutdown");
        until("its stop", || worker.audit.record().running("j1") == 0).await;
        assert_eq!(worker.audit.record().lapses, 1);
    });
}

#[test]
fn replies_to_other_reports_and_grants_of_lower_epochs_start_nothing() {
    run(async {
        let worker = Worker::start(worker_settings(), Audit::default());
        let entry = Entry::start(Script::default());
        let _agent = Agent::start(&worker, &entry);
        until("a report", || !entry.script().reports.is_empty()).await;
        entry.script().sequence_offset = 1;
        entry.script().grants = vec![grant("stale", 10)];
        until("the grant is sent", || entry.script().grants.is_empty()).await;
        entry.script().sequence_offset = 0;
        entry.script().grants = vec![Grant { epoch: 6, ..grant("deposed", 10) }, grant("j1", 10)];
        until("a start", || entry.script().phase("j1") == Some(TaskPhase::Done)).await;
        assert_eq!(worker.audit.record().starts, 1);
        assert_eq!(entry.script().phase("stale"), None);
        assert_eq!(entry.script().phase("deposed"), None);
    });
}

#[test]
fn an_owner_stops_a_task() {
    run(async {
        let worker = Worker::start(worker_settings(), Audit::default());
        let script = Script { grants: vec![grant("j1", 60_000)], ..Script::default() };
        let entry = Entry::start(script);
        let _agent = Agent::start(&worker, &entry);
        until("a start", || worker.audit.record().running("j1") == 1).await;
        entry.script().stops = vec![Stop { key: grant("j1", 0).key, epoch: 7 }];
        until("its stop", || entry.script().phase("j1") == Some(TaskPhase::Stopped)).await;
        assert_eq!(worker.audit.record().running("j1"), 0);
    });
}

#[test]
fn grants_beyond_the_capacity_are_refused_and_never_started() {
    run(async {
        let worker = Worker::start(worker_settings(), Audit::default());
        let grants = (0..4).map(|job| grant(&format!("j{job}"), 2_500)).collect();
        let entry = Entry::start(Script { grants, ..Script::default() });
        let _agent = Agent::start(&worker, &entry);
        let refused = || {
            let script = entry.script();
            let phase = |job: &str| script.phase(job) == Some(TaskPhase::Refused);
            ["j2", "j3"].iter().all(|job| phase(job))
        };
        until("the refusals", refused).await;
        let record = worker.audit.record();
        assert_eq!((record.starts, record.violations.total()), (2, 0));
    });
}

#[test]
fn a_task_that_outgrows_the_memory_of_the_worker_is_evicted() {
    run(async {
        let mut settings = worker_settings();
        settings.capacity.slots = 8;
        settings.report_lag = Duration::from_millis(50);
        let worker = Worker::start(settings, Audit::default());
        let large = |job: &str| Grant {
            payload: r#"{"run_ms":60000,"memory_mib":700}"#.to_owned(),
            ..grant(job, 60_000)
        };
        let entry =
            Entry::start(Script { grants: vec![large("j1"), large("j2")], ..Script::default() });
        let _agent = Agent::start(&worker, &entry);
        until("an eviction", || worker.audit.record().evictions == 1).await;
        let evicted = || {
            let script = entry.script();
            ["j1", "j2"].iter().any(|job| script.phase(job) == Some(TaskPhase::Evicted))
        };
        until("its report", evicted).await;
    });
}
