//! Step order, capacities and labels.

use super::harness::{Harness, id, job, step, task};
use shallotflow_core::graph::{State, Step};
use shallotflow_core::name::Name;
use shallotflow_policy::plan::message::{ExitReason, Status};

#[test]
fn a_step_starts_once_all_tasks_it_depends_on_are_done() {
    let mut harness = Harness::new(2);
    let second = Step { after: vec![0], ..step(1, 1_000) };
    harness.table.accept(id(1), job(vec![step(2, 1_000), second]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 0, 0), task(1, 0, 1)]);
    harness.end(task(1, 0, 0), ExitReason::Done);
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 0, 1)]);
    harness.end(task(1, 0, 1), ExitReason::Done);
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 1, 0)]);
}

#[test]
fn a_job_is_visible_as_completed_once_that_is_recorded() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    assert_eq!(harness.table.visible_state("renders", id(1)), Some(State::Queued));
    harness.run_round();
    assert_eq!(
        harness.table.visible_state("renders", id(1)),
        Some(State::Queued),
        "nothing is recorded"
    );
    harness.wait(std::time::Duration::from_secs(1));
    harness.record();
    assert_eq!(harness.table.visible_state("renders", id(1)), Some(State::Running));
    harness.end(task(1, 0, 0), ExitReason::Done);
    harness.report_all();
    assert_eq!(harness.table.visible_state("renders", id(1)), Some(State::Running));
    harness.record();
    assert_eq!(harness.table.visible_state("renders", id(1)), Some(State::Completed));
    assert_eq!(harness.table.visible_state("previews", id(1)), None, "a job belongs to one queue");
}

#[test]
fn a_job_visible_as_running_stays_so_under_a_new_owner() {
    let mut harness = Harness::new(1);
    let long_running = Step { lasting: true, ..step(1, 1_000) };
    harness.table.accept(id(1), job(vec![long_running.clone()]), true, harness.now);
    harness.run_round();
    harness.wait(std::time::Duration::from_secs(1));
    let records = harness.table.records(harness.now, 10);
    assert_eq!(records.len(), 1, "the start of a long-running job is recorded on its own");
    let mut next = Harness::owner(9, 1, Vec::new());
    let progress = Some(&records[0].progress);
    next.table.load(id(1), job(vec![long_running]), progress, false, next.now);
    assert_eq!(next.table.visible_state("renders", id(1)), Some(State::Running));
}

#[test]
fn a_worker_gets_no_more_than_its_capacity() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![step(20, 3_000)]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.running().len(), 3);
    harness.end(task(1, 0, 1), ExitReason::Done);
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 0, 0), task(1, 0, 2), task(1, 0, 3)]);
}

#[test]
fn tasks_go_to_workers_with_their_label_up_to_the_limit_per_worker() {
    let mut harness = Harness::new(3);
    for number in [1, 2] {
        harness.workers.get_mut(&super::harness::name(number)).expect("a worker").labels =
            vec![Name::from("wide")];
    }
    harness.report_all();
    let wide = Step { requires: Some(Name::from("wide")), per_worker: 2, ..step(6, 1_000) };
    harness.table.accept(id(1), job(vec![wide]), true, harness.now);
    harness.run_round();
    let counts: Vec<usize> = harness.workers.values().map(|worker| worker.running.len()).collect();
    assert_eq!(counts, [0, 2, 2]);
}

#[test]
fn a_draining_worker_gets_no_new_tasks() {
    let mut harness = Harness::new(2);
    harness.workers.get_mut(&super::harness::name(0)).expect("a worker").status =
        Status::Draining { remaining_ms: 5_000 };
    harness.report_all();
    harness.table.accept(id(1), job(vec![step(4, 1_000)]), true, harness.now);
    harness.run_round();
    let counts: Vec<usize> = harness.workers.values().map(|worker| worker.running.len()).collect();
    assert_eq!(counts, [0, 4]);
}

#[test]
fn a_long_running_task_restarts_whatever_its_exit_reason() {
    let mut harness = Harness::new(1);
    let long_running = Step { lasting: true, ..step(1, 1_000) };
    harness.table.accept(id(1), job(vec![long_running]), true, harness.now);
    harness.run_round();
    for reason in [
        ExitReason::Done,
        ExitReason::Failed,
        ExitReason::Lapsed,
        ExitReason::Failed,
        ExitReason::Failed,
    ] {
        harness.end(task(1, 0, 0), reason);
        harness.report_all();
        harness.wait(std::time::Duration::from_secs(2));
        harness.report_all();
        harness.run_round();
        assert_eq!(harness.running(), [task(1, 0, 0)], "after {reason:?}");
    }
    harness.record();
    assert_eq!(harness.table.visible_state("renders", id(1)), Some(State::Running));
}

#[test]
fn a_repetition_starts_when_it_is_due() {
    let mut harness = Harness::new(1);
    let mut repeated = job(vec![step(1, 1_000)]);
    repeated.spec.repetitions = 2;
    repeated.spec.first_due_ms = harness.now.as_millis() + 1_000;
    repeated.spec.interval_ms = 500;
    harness.table.accept(id(1), repeated, true, harness.now);
    harness.run_round();
    assert!(harness.running().is_empty());
    harness.wait(std::time::Duration::from_secs(1));
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.running().len(), 1);
    harness.wait(std::time::Duration::from_millis(500));
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.running().len(), 2, "repetitions may overlap");
}
