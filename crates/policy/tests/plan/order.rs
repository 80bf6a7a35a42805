//! Steps, capacities and labels.

use super::floor::{Floor, id, job, step, task};
use shallotflow_core::graph::{State, Step};
use shallotflow_core::name::Name;
use shallotflow_policy::plan::message::{ExitReason, Status};

#[test]
fn a_step_starts_once_all_tasks_before_it_are_done() {
    let mut floor = Floor::new(2);
    let second = Step { after: vec![0], ..step(1, 1_000) };
    floor.table.accept(id(1), job(vec![step(2, 1_000), second]), true, floor.now);
    floor.turn();
    assert_eq!(floor.running(), [task(1, 0, 0), task(1, 0, 1)]);
    floor.end(task(1, 0, 0), ExitReason::Done);
    floor.turn();
    assert_eq!(floor.running(), [task(1, 0, 1)]);
    floor.end(task(1, 0, 1), ExitReason::Done);
    floor.report_all();
    floor.turn();
    assert_eq!(floor.running(), [task(1, 1, 0)]);
}

#[test]
fn a_job_is_shown_as_completed_once_that_is_recorded() {
    let mut floor = Floor::new(1);
    floor.table.accept(id(1), job(vec![step(1, 1_000)]), true, floor.now);
    assert_eq!(floor.table.visible_state("renders", id(1)), Some(State::Queued));
    floor.turn();
    assert_eq!(
        floor.table.visible_state("renders", id(1)),
        Some(State::Queued),
        "nothing is recorded"
    );
    floor.wait(std::time::Duration::from_secs(1));
    floor.record();
    assert_eq!(floor.table.visible_state("renders", id(1)), Some(State::Running));
    floor.end(task(1, 0, 0), ExitReason::Done);
    floor.report_all();
    assert_eq!(floor.table.visible_state("renders", id(1)), Some(State::Running));
    floor.record();
    assert_eq!(floor.table.visible_state("renders", id(1)), Some(State::Completed));
    assert_eq!(floor.table.visible_state("previews", id(1)), None, "a job belongs to one queue");
}

#[test]
fn a_new_owner_shows_a_job_as_running_that_was_shown_so() {
    let mut floor = Floor::new(1);
    let lasting = Step { long_running: true, ..step(1, 1_000) };
    floor.table.accept(id(1), job(vec![lasting.clone()]), true, floor.now);
    floor.turn();
    floor.wait(std::time::Duration::from_secs(1));
    let records = floor.table.records(floor.now, 10);
    assert_eq!(records.len(), 1, "a job that lasts has no end to be recorded with");
    let mut next = Floor::owner(9, 1, Vec::new());
    let progress = Some(&records[0].progress);
    next.table.load(id(1), job(vec![lasting]), progress, false, next.now);
    assert_eq!(next.table.visible_state("renders", id(1)), Some(State::Running));
}

#[test]
fn a_worker_gets_no_more_than_it_holds() {
    let mut floor = Floor::new(1);
    floor.table.accept(id(1), job(vec![step(20, 3_000)]), true, floor.now);
    floor.turn();
    assert_eq!(floor.running().len(), 3);
    floor.end(task(1, 0, 1), ExitReason::Done);
    floor.report_all();
    floor.turn();
    assert_eq!(floor.running(), [task(1, 0, 0), task(1, 0, 2), task(1, 0, 3)]);
}

#[test]
fn tasks_go_to_workers_with_their_label_within_the_bound_for_each_worker() {
    let mut floor = Floor::new(3);
    for number in [1, 2] {
        floor.hands.get_mut(&super::floor::name(number)).expect("a worker").labels =
            vec![Name::from("wide")];
    }
    floor.report_all();
    let wide = Step { required_label: Some(Name::from("wide")), per_worker: 2, ..step(6, 1_000) };
    floor.table.accept(id(1), job(vec![wide]), true, floor.now);
    floor.turn();
    let counts: Vec<usize> = floor.hands.values().map(|hand| hand.running.len()).collect();
    assert_eq!(counts, [0, 2, 2]);
}

#[test]
fn a_worker_that_drains_gets_no_new_tasks() {
    let mut floor = Floor::new(2);
    floor.hands.get_mut(&super::floor::name(0)).expect("a worker").standing =
        Status::Draining { remaining_ms: 5_000 };
    floor.report_all();
    floor.table.accept(id(1), job(vec![step(4, 1_000)]), true, floor.now);
    floor.turn();
    let counts: Vec<usize> = floor.hands.values().map(|hand| hand.running.len()).collect();
    assert_eq!(counts, [0, 4]);
}

#[test]
fn a_lasting_task_starts_again_however_it_ends() {
    let mut floor = Floor::new(1);
    let lasting = Step { long_running: true, ..step(1, 1_000) };
    floor.table.accept(id(1), job(vec![lasting]), true, floor.now);
    floor.turn();
    for how in [
        ExitReason::Done,
        ExitReason::Failed,
        ExitReason::Lapsed,
        ExitReason::Failed,
        ExitReason::Failed,
    ] {
        floor.end(task(1, 0, 0), how);
        floor.report_all();
        floor.wait(std::time::Duration::from_secs(2));
        floor.report_all();
        floor.turn();
        assert_eq!(floor.running(), [task(1, 0, 0)], "after {how:?}");
    }
    floor.record();
    assert_eq!(floor.table.visible_state("renders", id(1)), Some(State::Running));
}

#[test]
fn a_repetition_starts_when_it_is_due() {
    let mut floor = Floor::new(1);
    let mut repeated = job(vec![step(1, 1_000)]);
    repeated.spec.repetitions = 2;
    repeated.spec.first_due_ms = floor.now.as_millis() + 1_000;
    repeated.spec.interval_ms = 500;
    floor.table.accept(id(1), repeated, true, floor.now);
    floor.turn();
    assert!(floor.running().is_empty());
    floor.wait(std::time::Duration::from_secs(1));
    floor.report_all();
    floor.turn();
    assert_eq!(floor.running().len(), 1);
    floor.wait(std::time::Duration::from_millis(500));
    floor.report_all();
    floor.turn();
    assert_eq!(floor.running().len(), 2, "repetitions may overlap");
}
