//! Cancelled jobs.

use super::floor::{Floor, id, job, step, task};
use shallotflow_core::graph::State;

#[test]
fn a_cancel_stops_what_runs_and_starts_nothing_more() {
    let mut floor = Floor::new(1);
    floor.table.accept(id(1), job(vec![step(5, 4_000)]), true, floor.now);
    floor.turn();
    assert_eq!(floor.running().len(), 2);
    floor.table.cancel(id(1), floor.now);
    assert_eq!(floor.table.shown("renders", id(1)), Some(State::Cancelled));
    floor.turn();
    assert!(floor.running().is_empty());
    floor.turn();
    assert!(floor.running().is_empty());
}

#[test]
fn a_cancel_that_overtakes_a_start_withdraws_it() {
    let mut floor = Floor::new(1);
    floor.table.accept(id(1), job(vec![step(1, 1_000)]), true, floor.now);
    floor.tick();
    floor.table.cancel(id(1), floor.now);
    floor.turn();
    floor.turn();
    assert!(floor.running().is_empty());
    assert!(floor.hands.values().all(|hand| hand.orders.is_empty()));
}

#[test]
fn a_completed_job_stays_completed() {
    let mut floor = Floor::new(1);
    floor.table.accept(id(1), job(vec![step(1, 1_000)]), true, floor.now);
    floor.turn();
    floor.end(task(1, 0, 0), shallotflow_policy::plan::message::How::Done);
    floor.report_all();
    floor.record();
    floor.table.cancel(id(1), floor.now);
    assert_eq!(floor.table.shown("renders", id(1)), Some(State::Completed));
}
