//! Workers that start again, agents that start again, and reports that come late.

use super::floor::{Floor, id, job, name, step, task};
use shallotflow_policy::plan::message::{ExitReason, Kind, Run, Status};
use std::time::Duration;

#[test]
fn the_runs_of_a_worker_that_started_again_go_on_elsewhere() {
    let mut floor = Floor::new(2);
    floor.table.accept(id(1), job(vec![step(2, 6_000)]), true, floor.now);
    floor.turn();
    floor.hands.get_mut(&name(0)).expect("a worker").restart_worker();
    floor.report_all();
    floor.turn();
    assert_eq!(floor.running().len(), 2);
}

#[test]
fn a_start_that_a_former_life_did_not_answer_is_withdrawn_in_the_next_one() {
    let mut floor = Floor::new(1);
    floor.table.accept(id(1), job(vec![step(1, 1_000)]), true, floor.now);
    floor.tick();
    floor.report_all();
    let hand = floor.hands.get_mut(&name(0)).expect("a worker");
    let start = hand.orders.remove(0);
    hand.restart_worker();
    floor.report_all();
    floor.tick();
    floor.report_all();
    let orders = &floor.hands[&name(0)].orders;
    let stops = orders.iter().filter(|order| order.kind == Kind::Stop);
    assert_eq!(stops.map(|order| order.run).collect::<Vec<_>>(), [start.run]);
    let starts = orders.iter().filter(|order| order.kind != Kind::Stop);
    assert_eq!(starts.count(), 0, "not before the stop is confirmed");
}

#[test]
fn an_agent_that_started_again_withdraws_what_its_former_process_may_have_begun() {
    let mut floor = Floor::new(1);
    floor.table.accept(id(1), job(vec![step(1, 1_000)]), true, floor.now);
    floor.tick();
    floor.report_all();
    floor.hands.get_mut(&name(0)).expect("a worker").restart_agent();
    floor.report_all();
    floor.report_all();
    let orders = &floor.hands[&name(0)].orders;
    assert!(orders.iter().all(|order| order.kind == Kind::Stop) && !orders.is_empty());
    floor.turn();
    floor.turn();
    assert_eq!(floor.running(), [task(1, 0, 0)]);
}

#[test]
fn an_agent_that_stays_silent_is_given_up_when_its_lease_has_ended() {
    let mut floor = Floor::new(2);
    floor.table.accept(id(1), job(vec![step(1, 1_000)]), true, floor.now);
    floor.turn();
    let silent = floor.place_of(task(1, 0, 0)).expect("a run");
    let other = 1 - silent;
    for _ in 0..6 {
        floor.wait(Duration::from_secs(1));
        floor.report(other);
        floor.tick();
        assert!(floor.hands[&name(other)].orders.is_empty(), "it may still run");
    }
    floor.wait(Duration::from_millis(500));
    floor.report(other);
    floor.tick();
    floor.report(other);
    assert_eq!(floor.hands[&name(other)].orders.len(), 1);
}

#[test]
fn a_worker_that_is_surely_empty_is_not_waited_for() {
    let mut floor = Floor::new(2);
    floor.table.accept(id(1), job(vec![step(1, 1_000)]), true, floor.now);
    floor.turn();
    let lost = floor.place_of(task(1, 0, 0)).expect("a run");
    let hand = floor.hands.get_mut(&name(lost)).expect("a worker");
    hand.standing = Status::Empty;
    hand.running.clear();
    floor.report_all();
    floor.turn();
    assert_eq!(floor.place_of(task(1, 0, 0)), Some(1 - lost));
}

#[test]
fn a_report_that_was_overtaken_changes_nothing() {
    let mut floor = Floor::new(1);
    floor.table.accept(id(1), job(vec![step(1, 1_000)]), true, floor.now);
    let old = floor.hands.get_mut(&name(0)).expect("a worker").report(&name(0), 1);
    floor.turn();
    floor.table.apply_report(old, floor.now);
    floor.turn();
    assert_eq!(floor.running(), [task(1, 0, 0)]);
    floor.end(task(1, 0, 0), ExitReason::Done);
    floor.report_all();
    assert!(floor.table.job(id(1)).expect("a job").is_done());
}

#[test]
fn a_run_that_nobody_asked_for_is_stopped() {
    let mut floor = Floor::new(1);
    let hand = floor.hands.get_mut(&name(0)).expect("a worker");
    let stray = task(9, 0, 0);
    let run = Run { task: stray, run: 3, checkpoint: None, percent: 0, measurement: 0, pace: 100 };
    hand.running.insert(stray, run);
    floor.report_all();
    floor.turn();
    assert!(floor.running().is_empty());
}

#[test]
fn an_agent_that_was_given_up_takes_orders_again_when_it_is_back() {
    let mut floor = Floor::new(1);
    floor.table.accept(id(1), job(vec![step(2, 1_000)]), true, floor.now);
    floor.turn();
    floor.hands.get_mut(&name(0)).expect("a worker").running.clear();
    floor.wait(Duration::from_secs(8));
    floor.tick();
    floor.report_all();
    floor.turn();
    assert_eq!(floor.running().len(), 2, "orders are counted on, not anew");
}

#[test]
fn ends_of_a_new_life_count_anew_before_the_worker_registers() {
    let mut floor = Floor::new(1);
    floor.table.accept(id(1), job(vec![step(2, 1_000)]), true, floor.now);
    floor.turn();
    floor.end(task(1, 0, 0), ExitReason::Done);
    floor.report_all();
    floor.record();
    assert_eq!(floor.table.reply(&name(0)).recorded, 1);
    let hand = floor.hands.get_mut(&name(0)).expect("a worker");
    hand.restart_worker();
    let mut report = hand.report(&name(0), 1);
    report.worker = None;
    floor.table.apply_report(report, floor.now);
    let reply = floor.table.reply(&name(0));
    assert_eq!((reply.recorded, reply.worker_started_ms), (0, 2), "the former count says nothing");
}

#[test]
fn an_agent_that_asks_is_told_what_its_runs_are() {
    let mut floor = Floor::new(1);
    let mut serving = step(1, 1_000);
    (serving.long_running, serving.target_ms) = (true, 50);
    floor.table.accept(id(1), job(vec![serving]), true, floor.now);
    floor.turn();
    assert!(floor.table.reply(&name(0)).run_traits.is_empty());
    let hand = floor.hands.get_mut(&name(0)).expect("a worker");
    let mut report = hand.report(&name(0), 1);
    report.lacks_traits = true;
    floor.table.apply_report(report, floor.now);
    let features = floor.table.reply(&name(0)).run_traits;
    assert_eq!(features.iter().map(|f| (f.run, f.traits.target_ms)).collect::<Vec<_>>(), [(1, 50)]);
}
