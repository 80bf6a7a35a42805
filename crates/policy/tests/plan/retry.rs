//! Failed runs, attempts and workers that fail.

use super::floor::{Floor, id, job, name, step, task};
use shallotflow_core::graph::State;
use shallotflow_policy::plan::Phase;
use shallotflow_policy::plan::message::{Answer, ExitReason, Kind, Outcome};
use std::time::Duration;

#[test]
fn a_failed_task_is_tried_elsewhere_until_its_attempts_are_used_up() {
    let mut floor = Floor::new(2);
    floor.table.accept(id(1), job(vec![step(1, 1_000)]), true, floor.now);
    floor.turn();
    let first = floor.place_of(task(1, 0, 0));
    floor.end(task(1, 0, 0), ExitReason::Failed);
    floor.report_all();
    floor.turn();
    assert_ne!(floor.place_of(task(1, 0, 0)), first);
    floor.end(task(1, 0, 0), ExitReason::Failed);
    floor.report_all();
    floor.turn();
    assert!(floor.running().is_empty());
    floor.record();
    assert_eq!(floor.table.visible_state("renders", id(1)), Some(State::Failed));
}

#[test]
fn an_end_that_is_listed_again_counts_once() {
    let mut floor = Floor::new(2);
    floor.table.accept(id(1), job(vec![step(1, 1_000)]), true, floor.now);
    floor.turn();
    floor.end(task(1, 0, 0), ExitReason::Failed);
    floor.report_all();
    floor.report_all();
    floor.report_all();
    floor.record();
    assert_eq!(floor.table.visible_state("renders", id(1)), Some(State::Running));
}

#[test]
fn a_lapsed_or_stopped_run_is_no_attempt() {
    let mut floor = Floor::new(2);
    floor.table.accept(id(1), job(vec![step(1, 1_000)]), true, floor.now);
    for how in [ExitReason::Lapsed, ExitReason::Stopped, ExitReason::Lapsed] {
        floor.turn();
        floor.end(task(1, 0, 0), how);
        floor.report_all();
    }
    floor.turn();
    assert_eq!(floor.running(), [task(1, 0, 0)]);
}

#[test]
fn a_worker_that_fails_several_jobs_in_a_row_is_set_aside() {
    let mut floor = Floor::new(4);
    for number in 1..=3 {
        floor.table.accept(id(number), job(vec![step(1, 9_000)]), true, floor.now);
    }
    floor.turn();
    // All three find their way to the same worker in turn and fail there.
    for number in 1..=3 {
        let place = floor.place_of(task(number, 0, 0)).expect("a run");
        let run = floor.hands[&name(place)].running[&task(number, 0, 0)].clone();
        let hand = floor.hands.get_mut(&name(place)).expect("a worker");
        hand.running.remove(&task(number, 0, 0));
        let bad = floor.hands.get_mut(&name(3)).expect("a worker");
        bad.running.insert(task(number, 0, 0), run);
        bad.end(task(number, 0, 0), ExitReason::Failed);
    }
    floor.report(3);
    let aside = floor.table.workers()[&name(3)].ejected_until;
    assert!(!aside.passed(floor.now));
}

#[test]
fn a_start_without_an_answer_is_withdrawn_before_the_task_starts_elsewhere() {
    let mut floor = Floor::new(2);
    floor.table.accept(id(1), job(vec![step(1, 1_000)]), true, floor.now);
    floor.tick();
    floor.report_all();
    let silent = floor.hands.iter().find(|(_, hand)| !hand.orders.is_empty());
    let silent = silent.map(|(agent, _)| agent.clone()).expect("an order");
    floor.wait(Duration::from_millis(800));
    floor.report_all();
    floor.tick();
    assert!(matches!(floor.phase(task(1, 0, 0)), Phase::Stopping { .. }));
    floor.report_all();
    let orders = floor.hands[&silent].orders.clone();
    assert!(orders.iter().any(|order| order.kind == Kind::Stop), "the run is withdrawn");
    floor.tick();
    assert!(matches!(floor.phase(task(1, 0, 0)), Phase::Stopping { .. }), "still unsettled");
    let (task, run) = (orders[0].task, orders[0].run);
    let hand = floor.hands.get_mut(&silent).expect("a worker");
    hand.orders.clear();
    hand.answers.push(Answer { task, run, outcome: Outcome::Absent });
    floor.report_all();
    floor.turn();
    assert_eq!(floor.running(), [task]);
}

#[test]
fn a_worker_without_room_is_left_alone_for_a_while() {
    let mut floor = Floor::new(1);
    floor.table.accept(id(1), job(vec![step(1, 1_000)]), true, floor.now);
    floor.tick();
    floor.report_all();
    let hand = floor.hands.get_mut(&name(0)).expect("a worker");
    let order = hand.orders.remove(0);
    hand.answers.push(Answer { task: order.task, run: order.run, outcome: Outcome::NoRoom });
    floor.report_all();
    floor.tick();
    assert_eq!(floor.phase(task(1, 0, 0)), Phase::Waiting);
    floor.wait(Duration::from_secs(1));
    floor.report_all();
    floor.turn();
    assert_eq!(floor.running(), [task(1, 0, 0)]);
}

#[test]
fn a_run_without_progress_is_given_up() {
    let mut floor = Floor::new(2);
    floor.table.accept(id(1), job(vec![step(1, 1_000)]), true, floor.now);
    floor.turn();
    for _ in 0..4 {
        floor.wait(Duration::from_millis(900));
        floor.report_all();
        floor.tick();
    }
    assert!(matches!(floor.phase(task(1, 0, 0)), Phase::Stopping { .. }));
}
