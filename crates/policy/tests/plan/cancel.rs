//! Cancelled jobs.

use super::floor::{Floor, id, job, name, step, task};
use shallotflow_core::graph::{State, Step};
use shallotflow_policy::plan::message::ExitReason;

#[test]
fn a_cancel_stops_what_runs_and_starts_nothing_more() {
    let mut floor = Floor::new(1);
    floor.table.accept(id(1), job(vec![step(5, 4_000)]), true, floor.now);
    floor.turn();
    assert_eq!(floor.running().len(), 2);
    floor.table.cancel(id(1), floor.now);
    assert_eq!(floor.table.visible_state("renders", id(1)), Some(State::Cancelled));
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
    floor.end(task(1, 0, 0), shallotflow_policy::plan::message::ExitReason::Done);
    floor.report_all();
    floor.record();
    floor.table.cancel(id(1), floor.now);
    assert_eq!(floor.table.visible_state("renders", id(1)), Some(State::Completed));
}

#[test]
fn a_stop_that_went_down_with_the_agent_s_process_is_ordered_again() {
    let mut floor = Floor::new(1);
    let lasting = Step { long_running: true, ..step(1, 1_000) };
    floor.table.accept(id(1), job(vec![lasting]), true, floor.now);
    floor.turn();
    floor.table.cancel(id(1), floor.now);
    // The agent receives the order and ends before it carries it out.
    floor.report(0);
    floor.report(0);
    floor.hands.get_mut(&name(0)).expect("a worker").restart_agent();
    floor.report(0);
    floor.turn();
    assert!(floor.running().is_empty(), "{:?}", floor.running());
}

#[test]
fn a_final_state_stays_shown_while_ends_of_other_tasks_come_in() {
    let mut floor = Floor::new(1);
    floor.table.accept(id(1), job(vec![step(2, 1_000)]), true, floor.now);
    floor.turn();
    for _ in 0..8 {
        floor.end(task(1, 0, 0), ExitReason::Failed);
        floor.report_all();
        floor.wait(std::time::Duration::from_secs(1));
        floor.report_all();
        floor.tick();
        if floor.table.job(id(1)).is_some_and(|job| job.ended.is_some()) {
            break;
        }
        floor.turn();
    }
    floor.record();
    assert_eq!(floor.table.visible_state("renders", id(1)), Some(State::Failed));
    floor.end(task(1, 0, 1), ExitReason::Stopped);
    floor.report_all();
    assert_eq!(floor.table.visible_state("renders", id(1)), Some(State::Failed));
}
