//! Cancelled jobs.

use super::harness::{Harness, id, job, name, step, task};
use shallotflow_core::graph::{State, Step};
use shallotflow_policy::plan::message::ExitReason;

#[test]
fn a_cancel_stops_active_runs_and_starts_no_more() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![step(5, 4_000)]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.running().len(), 2);
    harness.table.cancel(id(1), harness.now);
    assert_eq!(harness.table.visible_state("renders", id(1)), Some(State::Cancelled));
    harness.run_round();
    assert!(harness.running().is_empty());
    harness.run_round();
    assert!(harness.running().is_empty());
}

/// Guards against a cancel that is lost since it arrives before its job.
#[test]
fn a_cancel_counts_that_arrives_before_its_job() {
    let mut harness = Harness::new(1);
    harness.table.cancel(id(1), harness.now);
    harness.run_round();
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    harness.run_round();
    assert!(harness.running().is_empty());
    assert_eq!(harness.table.visible_state("renders", id(1)), Some(State::Cancelled));
    harness.table.accept(id(2), job(vec![step(1, 1_000)]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.running(), [task(2, 0, 0)], "it counts for its own job only");
}

#[test]
fn a_cancel_withdraws_a_start_in_flight() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    harness.tick();
    harness.table.cancel(id(1), harness.now);
    harness.run_round();
    harness.run_round();
    assert!(harness.running().is_empty());
    assert!(harness.workers.values().all(|worker| worker.orders.is_empty()));
}

#[test]
fn a_completed_job_stays_completed() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    harness.run_round();
    harness.end(task(1, 0, 0), shallotflow_policy::plan::message::ExitReason::Done);
    harness.report_all();
    harness.record();
    harness.table.cancel(id(1), harness.now);
    assert_eq!(harness.table.visible_state("renders", id(1)), Some(State::Completed));
}

#[test]
fn a_stop_lost_with_the_agent_process_is_ordered_again() {
    let mut harness = Harness::new(1);
    let long_running = Step { long_running: true, ..step(1, 1_000) };
    harness.table.accept(id(1), job(vec![long_running]), true, harness.now);
    harness.run_round();
    harness.table.cancel(id(1), harness.now);
    // The agent receives the order and exits before it executes it.
    harness.report(0);
    harness.report(0);
    harness.workers.get_mut(&name(0)).expect("a worker").restart_agent();
    harness.report(0);
    harness.run_round();
    assert!(harness.running().is_empty(), "{:?}", harness.running());
}

#[test]
fn a_final_state_stays_visible_while_ends_of_other_tasks_arrive() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![step(2, 1_000)]), true, harness.now);
    harness.run_round();
    for _ in 0..8 {
        harness.end(task(1, 0, 0), ExitReason::Failed);
        harness.report_all();
        harness.wait(std::time::Duration::from_secs(1));
        harness.report_all();
        harness.tick();
        if harness.table.job(id(1)).is_some_and(|job| job.ended.is_some()) {
            break;
        }
        harness.run_round();
    }
    harness.record();
    assert_eq!(harness.table.visible_state("renders", id(1)), Some(State::Failed));
    harness.end(task(1, 0, 1), ExitReason::Stopped);
    harness.report_all();
    assert_eq!(harness.table.visible_state("renders", id(1)), Some(State::Failed));
}
