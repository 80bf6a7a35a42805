//! Takeover by a new owner of the runs that its predecessor started.

use super::harness::{Harness, id, job, name, step, task};
use shallotflow_core::graph::State;
use shallotflow_policy::plan::message::{ExitReason, Run, Status};
use shallotflow_policy::plan::{Phase, Progress};
use std::time::Duration;
use test_case::test_case;

fn run(job: u64, index: u32) -> Run {
    let task = task(job, 0, index);
    Run { task, run: 1, checkpoint: None, percent: 10, measurement: 0, pace: 100 }
}

#[test]
fn a_task_that_a_worker_lists_continues() {
    let mut harness = Harness::owner(2, 2, vec![name(0), name(1)]);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), false, harness.now);
    let worker = harness.workers.get_mut(&name(1)).expect("a worker");
    worker.running.insert(task(1, 0, 0), run(1, 0));
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 0, 0)]);
    assert_eq!(harness.worker_of(task(1, 0, 0)), Some(1));
}

#[test]
fn a_task_waits_until_every_agent_that_may_run_it_has_reported() {
    let mut harness = Harness::owner(2, 2, vec![name(0), name(1)]);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), false, harness.now);
    harness.report(0);
    harness.tick();
    assert_eq!(harness.phase(task(1, 0, 0)), Phase::Uncertain);
    harness.report(1);
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 0, 0)]);
    let run =
        harness.workers.values().find_map(|worker| worker.running.values().next()).expect("a run");
    assert!(run.run > 1_000, "above every number that the predecessor can have assigned");
}

#[test]
fn a_task_waits_for_the_lease_of_an_agent_that_does_not_report() {
    let mut harness = Harness::owner(2, 1, vec![name(0), name(7)]);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), false, harness.now);
    // The predecessor may have renewed leases for some time after the claim.
    for _ in 0..8 {
        harness.report_all();
        harness.run_round();
        assert!(harness.running().is_empty());
        harness.wait(Duration::from_secs(1));
    }
    harness.wait(Duration::from_millis(500));
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 0, 0)]);
}

#[test]
fn a_job_that_no_predecessor_knew_starts_at_once() {
    let mut harness = Harness::owner(2, 1, vec![name(0), name(7)]);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 0, 0)]);
}

#[test]
fn recorded_progress_is_not_repeated() {
    let mut first = Harness::new(1);
    first.table.accept(id(1), job(vec![step(4, 1_000)]), true, first.now);
    first.run_round();
    first.end(task(1, 0, 0), ExitReason::Done);
    first.end(task(1, 0, 1), ExitReason::Done);
    first.end(task(1, 0, 2), ExitReason::Failed);
    first.report_all();
    first.wait(Duration::from_secs(1));
    let record = first.table.records(first.now, 10).pop().expect("a record");
    assert_eq!(record.progress.done, [(0, 1)]);

    let mut second = Harness::owner(2, 1, Vec::new());
    let kept = Some(&record.progress);
    second.table.load(id(1), job(vec![step(4, 1_000)]), kept, false, second.now);
    second.report_all();
    second.run_round();
    assert_eq!(second.running(), [task(1, 0, 2), task(1, 0, 3)]);
    second.end(task(1, 0, 2), ExitReason::Failed);
    second.report_all();
    second.record();
    let state = second.table.visible_state("renders", id(1));
    assert_eq!(state, Some(State::Failed), "the earlier failure counts");
}

#[test]
fn a_worker_discards_an_end_only_once_it_is_recorded() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![step(2, 1_000)]), true, harness.now);
    harness.run_round();
    harness.end(task(1, 0, 0), ExitReason::Done);
    harness.report_all();
    assert_eq!(harness.table.reply(&name(0)).recorded, 0);
    harness.record();
    assert_eq!(harness.table.reply(&name(0)).recorded, 1);
}

#[test]
fn a_final_state_survives_a_change_of_owner() {
    let progress = Progress { state: State::Failed, ended_ms: 5, ..Progress::default() };
    let mut harness = Harness::owner(3, 1, Vec::new());
    let kept = Some(&progress);
    harness.table.load(id(1), job(vec![step(1, 1_000)]), kept, false, harness.now);
    harness.report_all();
    harness.run_round();
    assert!(harness.running().is_empty());
    assert_eq!(harness.table.visible_state("renders", id(1)), Some(State::Failed));
}

#[test]
fn tasks_do_not_wait_for_an_agent_without_a_worker() {
    let mut harness = Harness::owner(2, 2, vec![name(0), name(1)]);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), false, harness.now);
    harness.report(0);
    let worker = harness.workers.get_mut(&name(1)).expect("a worker");
    let mut report = worker.report(&name(1), 2);
    (report.worker, report.vacant, report.complete) = (None, true, false);
    report.incarnation = None;
    (report.running, report.ends) = (None, Vec::new());
    harness.table.apply_report(report, harness.now);
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 0, 0)]);
}

#[test]
fn an_empty_worker_is_not_a_holder_of_runs() {
    let mut harness = Harness::new(2);
    assert_eq!(harness.table.holders(), [name(0), name(1)].into());
    harness.workers.get_mut(&name(1)).expect("a worker").status = Status::Empty;
    harness.report_all();
    assert_eq!(harness.table.holders(), [name(0)].into());
}

#[test]
fn a_failed_task_waits_until_every_agent_has_reported_its_earlier_failures() {
    let mut harness = Harness::owner(2, 2, vec![name(0), name(1)]);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), false, harness.now);
    let worker = harness.workers.get_mut(&name(0)).expect("a worker");
    worker.running.insert(task(1, 0, 0), run(1, 0));
    harness.report(0);
    harness.end(task(1, 0, 0), ExitReason::Failed);
    harness.report(0);
    harness.tick();
    harness.report(0);
    let orders = &harness.workers[&name(0)].orders;
    assert!(orders.is_empty(), "its earlier runs may have failed too often: {orders:?}");
    harness.report(1);
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 0, 0)]);
}

#[test_case(true ; "its worker has answered before")]
#[test_case(false ; "it has just started")]
fn a_task_waits_for_the_lease_of_an_agent_that_reports_but_cannot_read_the_lists(known: bool) {
    let mut harness = Harness::owner(2, 2, vec![name(0), name(1)]);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), false, harness.now);
    let report_incomplete = |harness: &mut Harness| {
        let worker = harness.workers.get_mut(&name(1)).expect("a worker");
        let mut report = worker.report(&name(1), 2);
        (report.complete, report.running) = (false, None);
        if !known {
            (report.incarnation, report.worker) = (None, None);
        }
        harness.table.apply_report(report, harness.now);
    };
    // None of these reports lets the agent renew leases, so none moves the end of the wait.
    for _ in 0..8 {
        report_incomplete(&mut harness);
        assert_eq!(harness.table.reply(&name(1)).sequence, 0);
        harness.report(0);
        harness.tick();
        assert_eq!(harness.phase(task(1, 0, 0)), Phase::Uncertain);
        harness.wait(Duration::from_secs(1));
    }
    report_incomplete(&mut harness);
    harness.report(0);
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 0, 0)]);
}

#[test]
fn tasks_do_not_wait_for_an_agent_whose_worker_is_silent_and_has_no_lease() {
    let mut harness = Harness::owner(2, 2, vec![name(0), name(1)]);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), false, harness.now);
    harness.report(0);
    let worker = harness.workers.get_mut(&name(1)).expect("a worker");
    worker.status = Status::Empty;
    let mut report = worker.report(&name(1), 2);
    (report.complete, report.running) = (false, None);
    harness.table.apply_report(report, harness.now);
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 0, 0)]);
}

#[test]
fn an_agent_that_restarts_while_its_worker_runs_tasks_remains_a_holder_of_runs() {
    let mut harness = Harness::new(2);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    harness.run_round();
    let number = harness.worker_of(task(1, 0, 0)).expect("a run");
    let worker = harness.workers.get_mut(&name(number)).expect("a worker");
    worker.restart_agent();
    let mut report = worker.report(&name(number), 1);
    (report.complete, report.running) = (false, None);
    harness.table.apply_report(report, harness.now);
    assert_eq!(harness.table.holders(), [name(0), name(1)].into(), "a successor waits for it");
}
