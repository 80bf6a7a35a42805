//! Which tasks wait for their rack, and what takes precedence over a wait.

use super::harness::{Harness, id, job, name, step, task};
use shallotflow_core::graph::Step;
use shallotflow_core::name::Name;
use shallotflow_policy::plan::message::{ExitReason, Run};
use shallotflow_policy::plan::{Event, Settings};
use std::time::Duration;

/// Two racks of two workers with ten processors each; a task takes three times as long elsewhere.
fn racks() -> Harness {
    let settings = Settings { spread_factor: 3.0, ..Settings::default() };
    with_racks(Harness::with_settings(settings, 4))
}

fn with_racks(mut harness: Harness) -> Harness {
    for number in 0..4 {
        harness.worker(number).rack =
            Some(Name::from(if number < 2 { "rack-0" } else { "rack-1" }));
    }
    harness
}

fn near(step: Step) -> Step {
    Step { data_rack: Some(Name::from("rack-0")), ..step }
}

/// Returns such workers, of which those of the first rack are full for about a second.
fn full_rack() -> Harness {
    let mut harness = racks();
    harness.report_all();
    harness.table.accept(id(1), job(vec![near(step(4, 5_000))]), true, harness.now);
    harness.run_round();
    assert!((0..4).all(|index| harness.worker_of(task(1, 0, index)) < Some(2)));
    harness.wait(Duration::from_millis(500));
    harness.report_all();
    harness
}

#[test]
fn a_task_waits_for_its_rack_and_starts_there_once_a_run_ends() {
    let mut harness = full_rack();
    harness.table.accept(id(2), job(vec![near(step(1, 5_000))]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.worker_of(task(2, 0, 0)), None);
    harness.end(task(1, 0, 0), ExitReason::Done);
    harness.report_all();
    harness.table.take_events();
    harness.run_round();
    assert!(harness.worker_of(task(2, 0, 0)) < Some(2), "in the rack");
    let events = harness.table.take_events();
    assert!(events.iter().any(|event| matches!(event, Event::Start { near: Some(true), .. })));
}

#[test]
fn a_long_running_task_does_not_wait() {
    // It would have the use of the better place, but nothing tells how long it runs.
    let mut harness = full_rack();
    let lasting = Step { long_running: true, ..near(step(1, 5_000)) };
    harness.table.accept(id(2), job(vec![lasting]), true, harness.now);
    harness.run_round();
    assert!(harness.worker_of(task(2, 0, 0)) >= Some(2));
}

#[test]
fn a_limit_for_each_worker_takes_precedence_over_a_wait() {
    // The rack has room, but not for this step: what ends there makes no place for it.
    let mut harness = racks();
    harness.report_all();
    let limited = Step { per_worker: 1, ..near(step(3, 1_000)) };
    harness.table.accept(id(1), job(vec![limited]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.running().len(), 3);
}

#[test]
fn a_task_whose_label_only_other_racks_have_does_not_wait() {
    let mut harness = full_rack();
    harness.worker(3).labels = vec![Name::from("large")];
    harness.report_all();
    let labelled = Step { required_label: Some(Name::from("large")), ..near(step(1, 5_000)) };
    harness.table.accept(id(2), job(vec![labelled]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.worker_of(task(2, 0, 0)), Some(3));
}

#[test]
fn a_task_that_no_worker_of_its_rack_can_hold_does_not_wait() {
    // The sums of the rack cover it, but no worker does.
    let mut harness = full_rack();
    harness.worker(2).millicores = 20_000;
    harness.report_all();
    harness.table.accept(id(2), job(vec![near(step(1, 15_000))]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.worker_of(task(2, 0, 0)), Some(2));
}

#[test]
fn the_tasks_of_a_group_wait_for_the_rack_of_the_first() {
    let mut harness = racks();
    harness.report_all();
    let group = Step { same_rack: true, ..step(5, 5_000) };
    harness.table.accept(id(1), job(vec![group]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.running().len(), 4);
    let first = harness.worker_of(task(1, 0, 0)).map(|worker| worker / 2);
    harness.wait(Duration::from_millis(500));
    harness.end(task(1, 0, 0), ExitReason::Done);
    harness.report_all();
    harness.run_round();
    let racks = (1..5).map(|index| harness.worker_of(task(1, 0, index)).map(|worker| worker / 2));
    assert!(racks.into_iter().all(|rack| rack == first), "one rack");
}

#[test]
fn a_gang_that_has_waited_for_its_rack_starts_in_two() {
    // A gang whose wait does not end would never start.
    let mut harness = full_rack();
    let gang = Step { gang: true, ..near(step(2, 5_000)) };
    harness.table.accept(id(2), job(vec![gang]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.worker_of(task(2, 0, 0)), None);
    for _ in 0..30 {
        harness.wait(Duration::from_millis(100));
        harness.report_all();
        harness.run_round();
        // The runs go on beyond their estimate.
        for worker in harness.workers.values_mut() {
            for run in worker.running.values_mut() {
                run.percent = (run.percent + 1).min(99);
            }
        }
    }
    assert!((0..2).all(|index| harness.worker_of(task(2, 0, index)).is_some()));
}

#[test]
fn after_a_takeover_the_estimate_counts_until_progress_is_listed() {
    // A new owner that knows no end would send every task away from its data.
    let mut harness = with_racks(Harness::owner(2, 4, (0..4).map(name).collect()));
    harness.table.accept(id(1), job(vec![near(step(4, 5_000))]), false, harness.now);
    for index in 0..4 {
        let task = task(1, 0, index);
        let run = Run { task, run: 1, checkpoint: None, percent: 0, measurement: 0, pace: 100 };
        harness.worker(index as usize / 2).running.insert(task, run);
    }
    harness.report_all();
    // The default factor is 1.5, so that two seconds elsewhere add one.
    let waiting = Step { estimate_ms: 2_000, ..near(step(1, 5_000)) };
    harness.table.accept(id(2), job(vec![waiting]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.worker_of(task(2, 0, 0)), None);
    let events = harness.table.take_events();
    assert!(events.iter().any(|event| matches!(event, Event::NearWait { expected_ms: 1_000, .. })));
}
