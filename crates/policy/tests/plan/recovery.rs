//! What a new owner does with what its predecessor started.

use super::floor::{Floor, id, job, name, step, task};
use shallotflow_core::graph::State;
use shallotflow_policy::plan::message::{ExitReason, Run};
use shallotflow_policy::plan::{Phase, Progress};
use std::time::Duration;

fn run(job: u64, index: u32) -> Run {
    let task = task(job, 0, index);
    Run { task, run: 1, checkpoint: None, percent: 10, measurement: 0, pace: 100 }
}

#[test]
fn a_task_that_a_worker_lists_goes_on() {
    let mut floor = Floor::owner(2, 2, vec![name(0), name(1)]);
    floor.table.accept(id(1), job(vec![step(1, 1_000)]), false, floor.now);
    let hand = floor.hands.get_mut(&name(1)).expect("a worker");
    hand.running.insert(task(1, 0, 0), run(1, 0));
    floor.report_all();
    floor.turn();
    assert_eq!(floor.running(), [task(1, 0, 0)]);
    assert_eq!(floor.place_of(task(1, 0, 0)), Some(1));
}

#[test]
fn a_task_waits_until_every_agent_that_may_run_it_has_reported() {
    let mut floor = Floor::owner(2, 2, vec![name(0), name(1)]);
    floor.table.accept(id(1), job(vec![step(1, 1_000)]), false, floor.now);
    floor.report(0);
    floor.tick();
    assert_eq!(floor.phase(task(1, 0, 0)), Phase::Uncertain);
    floor.report(1);
    floor.turn();
    assert_eq!(floor.running(), [task(1, 0, 0)]);
    let run = floor.hands.values().find_map(|hand| hand.running.values().next()).expect("a run");
    assert!(run.run > 1_000, "above every number that the predecessor can have given");
}

#[test]
fn a_task_waits_for_the_lease_of_an_agent_that_stays_away() {
    let mut floor = Floor::owner(2, 1, vec![name(0), name(7)]);
    floor.table.accept(id(1), job(vec![step(1, 1_000)]), false, floor.now);
    for _ in 0..6 {
        floor.report_all();
        floor.turn();
        assert!(floor.running().is_empty());
        floor.wait(Duration::from_secs(1));
    }
    floor.wait(Duration::from_millis(500));
    floor.report_all();
    floor.turn();
    assert_eq!(floor.running(), [task(1, 0, 0)]);
}

#[test]
fn a_job_that_no_predecessor_knew_starts_at_once() {
    let mut floor = Floor::owner(2, 1, vec![name(0), name(7)]);
    floor.table.accept(id(1), job(vec![step(1, 1_000)]), true, floor.now);
    floor.report_all();
    floor.turn();
    assert_eq!(floor.running(), [task(1, 0, 0)]);
}

#[test]
fn progress_that_was_recorded_is_not_worked_on_again() {
    let mut first = Floor::new(1);
    first.table.accept(id(1), job(vec![step(4, 1_000)]), true, first.now);
    first.turn();
    first.end(task(1, 0, 0), ExitReason::Done);
    first.end(task(1, 0, 1), ExitReason::Done);
    first.end(task(1, 0, 2), ExitReason::Failed);
    first.report_all();
    first.wait(Duration::from_secs(1));
    let record = first.table.records(first.now, 10).pop().expect("a record");
    assert_eq!(record.progress.done, [(0, 1)]);

    let mut second = Floor::owner(2, 1, Vec::new());
    let kept = Some(&record.progress);
    second.table.load(id(1), job(vec![step(4, 1_000)]), kept, false, second.now);
    second.report_all();
    second.turn();
    assert_eq!(second.running(), [task(1, 0, 2), task(1, 0, 3)]);
    second.end(task(1, 0, 2), ExitReason::Failed);
    second.report_all();
    second.record();
    let state = second.table.visible_state("renders", id(1));
    assert_eq!(state, Some(State::Failed), "the failure before counts");
}

#[test]
fn a_worker_forgets_an_end_only_once_it_is_recorded() {
    let mut floor = Floor::new(1);
    floor.table.accept(id(1), job(vec![step(2, 1_000)]), true, floor.now);
    floor.turn();
    floor.end(task(1, 0, 0), ExitReason::Done);
    floor.report_all();
    assert_eq!(floor.table.reply(&name(0)).recorded, 0);
    floor.record();
    assert_eq!(floor.table.reply(&name(0)).recorded, 1);
}

#[test]
fn a_final_state_survives_the_owner() {
    let progress = Progress { state: State::Failed, ended_ms: 5, ..Progress::default() };
    let mut floor = Floor::owner(3, 1, Vec::new());
    let kept = Some(&progress);
    floor.table.load(id(1), job(vec![step(1, 1_000)]), kept, false, floor.now);
    floor.report_all();
    floor.turn();
    assert!(floor.running().is_empty());
    assert_eq!(floor.table.visible_state("renders", id(1)), Some(State::Failed));
}

#[test]
fn an_agent_beside_no_worker_is_not_waited_for() {
    let mut floor = Floor::owner(2, 2, vec![name(0), name(1)]);
    floor.table.accept(id(1), job(vec![step(1, 1_000)]), false, floor.now);
    floor.report(0);
    let hand = floor.hands.get_mut(&name(1)).expect("a worker");
    let mut report = hand.report(&name(1), 2);
    (report.worker, report.vacant, report.complete) = (None, true, false);
    report.incarnation = None;
    (report.running, report.ends) = (None, Vec::new());
    floor.table.apply_report(report, floor.now);
    floor.turn();
    assert_eq!(floor.running(), [task(1, 0, 0)]);
}

#[test]
fn a_worker_that_has_left_is_no_holder_of_runs() {
    let mut floor = Floor::new(2);
    assert_eq!(floor.table.holders(), [name(0), name(1)]);
    floor.hands.get_mut(&name(1)).expect("a worker").standing =
        shallotflow_policy::plan::message::Status::Empty;
    floor.report_all();
    assert_eq!(floor.table.holders(), [name(0)]);
}

#[test]
fn a_task_that_fails_waits_until_every_agent_has_told_of_its_earlier_failures() {
    let mut floor = Floor::owner(2, 2, vec![name(0), name(1)]);
    floor.table.accept(id(1), job(vec![step(1, 1_000)]), false, floor.now);
    let hand = floor.hands.get_mut(&name(0)).expect("a worker");
    hand.running.insert(task(1, 0, 0), run(1, 0));
    floor.report(0);
    floor.end(task(1, 0, 0), ExitReason::Failed);
    floor.report(0);
    floor.tick();
    floor.report(0);
    let orders = &floor.hands[&name(0)].orders;
    assert!(orders.is_empty(), "its earlier runs may have failed too often: {orders:?}");
    floor.report(1);
    floor.turn();
    assert_eq!(floor.running(), [task(1, 0, 0)]);
}
