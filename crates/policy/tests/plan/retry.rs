//! Failed runs, attempts and failing workers.

use super::harness::{Harness, id, job, name, step, task};
use shallotflow_core::graph::{State, Step};
use shallotflow_core::name::Name;
use shallotflow_policy::plan::Phase;
use shallotflow_policy::plan::message::{Answer, ExitReason, Kind, Outcome};
use std::time::Duration;
use test_case::test_case;

#[test]
fn a_failed_task_is_retried_elsewhere_until_its_attempts_are_exhausted() {
    let mut harness = Harness::new(2);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    harness.run_round();
    let first = harness.worker_of(task(1, 0, 0));
    harness.end(task(1, 0, 0), ExitReason::Failed);
    harness.report_all();
    harness.run_round();
    assert_ne!(harness.worker_of(task(1, 0, 0)), first);
    harness.end(task(1, 0, 0), ExitReason::Failed);
    harness.report_all();
    harness.run_round();
    assert!(harness.running().is_empty());
    harness.record();
    assert_eq!(harness.table.visible_state("renders", id(1)), Some(State::Failed));
}

#[test]
fn an_end_that_is_reported_again_counts_once() {
    let mut harness = Harness::new(2);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    harness.run_round();
    harness.end(task(1, 0, 0), ExitReason::Failed);
    harness.report_all();
    harness.report_all();
    harness.report_all();
    harness.record();
    assert_eq!(harness.table.visible_state("renders", id(1)), Some(State::Running));
}

#[test]
fn a_lapsed_or_stopped_run_does_not_count_as_an_attempt() {
    let mut harness = Harness::new(2);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    for reason in [ExitReason::Lapsed, ExitReason::Stopped, ExitReason::Lapsed] {
        harness.run_round();
        harness.end(task(1, 0, 0), reason);
        harness.report_all();
    }
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 0, 0)]);
}

#[test]
fn a_worker_that_fails_several_jobs_in_a_row_is_ejected() {
    let mut harness = Harness::new(4);
    for number in 1..=3 {
        harness.table.accept(id(number), job(vec![step(1, 9_000)]), true, harness.now);
    }
    harness.run_round();
    // All three jobs run on the same worker one after the other and fail there.
    for number in 1..=3 {
        let place = harness.worker_of(task(number, 0, 0)).expect("a run");
        let run = harness.workers[&name(place)].running[&task(number, 0, 0)].clone();
        let worker = harness.workers.get_mut(&name(place)).expect("a worker");
        worker.running.remove(&task(number, 0, 0));
        let bad = harness.workers.get_mut(&name(3)).expect("a worker");
        bad.running.insert(task(number, 0, 0), run);
        bad.end(task(number, 0, 0), ExitReason::Failed);
    }
    harness.report(3);
    let ejected_until = harness.table.workers()[&name(3)].ejected_until;
    assert!(!ejected_until.passed(harness.now));
}

#[test]
fn a_start_without_an_answer_is_withdrawn_before_the_task_starts_elsewhere() {
    let mut harness = Harness::new(2);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    harness.tick();
    harness.report_all();
    let silent = harness.workers.iter().find(|(_, worker)| !worker.orders.is_empty());
    let silent = silent.map(|(agent, _)| agent.clone()).expect("an order");
    harness.wait(Duration::from_millis(800));
    harness.report_all();
    harness.tick();
    assert!(matches!(harness.phase(task(1, 0, 0)), Phase::Stopping { .. }));
    harness.report_all();
    let orders = harness.workers[&silent].orders.clone();
    assert!(orders.iter().any(|order| order.kind == Kind::Stop), "the run is withdrawn");
    harness.tick();
    assert!(
        matches!(harness.phase(task(1, 0, 0)), Phase::Stopping { .. }),
        "the stop is not answered yet"
    );
    let (task, run) = (orders[0].task, orders[0].run);
    let worker = harness.workers.get_mut(&silent).expect("a worker");
    worker.orders.clear();
    worker.answers.push(Answer { task, run, outcome: Outcome::Absent });
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.running(), [task]);
}

#[test]
fn a_worker_without_room_gets_no_starts_for_a_while() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    harness.tick();
    harness.report_all();
    let worker = harness.workers.get_mut(&name(0)).expect("a worker");
    let order = worker.orders.remove(0);
    worker.answers.push(Answer { task: order.task, run: order.run, outcome: Outcome::NoRoom });
    harness.report_all();
    harness.tick();
    assert_eq!(harness.phase(task(1, 0, 0)), Phase::Waiting);
    harness.wait(Duration::from_secs(1));
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 0, 0)]);
}

#[test]
fn a_run_without_progress_is_stopped() {
    let mut harness = Harness::new(2);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    harness.run_round();
    for _ in 0..4 {
        harness.wait(Duration::from_millis(900));
        harness.report_all();
        harness.tick();
    }
    assert!(matches!(harness.phase(task(1, 0, 0)), Phase::Stopping { .. }));
}

/// The worker that looks best refuses each start while its heartbeats show it as ready.
#[test_case(Outcome::Unhealthy ; "a worker that is not healthy")]
#[test_case(Outcome::NoRoom ; "a worker that has no room for it")]
#[test_case(Outcome::NotReady ; "an agent that does not reach its worker")]
#[test_case(Outcome::Late ; "a worker that takes each lease for ended")]
#[test_case(Outcome::Refused ; "a worker that cannot read the call")]
#[test_case(Outcome::Absent ; "a worker that does not answer")]
#[test_case(Outcome::Old ; "a worker that says that it knows each run")]
fn a_task_does_not_wait_for_a_worker_that_refuses_every_start(refusal: Outcome) {
    let serving = Step {
        long_running: true,
        target_ms: 100,
        image: Some(Name::from("press")),
        ..step(1, 1_000)
    };
    let mut harness = Harness::new(4);
    harness.table.accept(id(1), job(vec![serving.clone()]), true, harness.now);
    harness.run_round();
    // Serving tasks of one image are packed, so that the next one belongs to the same worker.
    let refusing = harness.worker_of(task(1, 0, 0)).expect("a run");
    harness.table.accept(id(2), job(vec![serving]), true, harness.now);
    for _ in 0..30 {
        harness.tick();
        harness.report_all();
        harness.refuse_starts(refusing, refusal);
        harness.execute_orders();
        harness.report_all();
        harness.wait(Duration::from_millis(100));
    }
    let place = harness.worker_of(task(2, 0, 0));
    assert!(place.is_some_and(|place| place != refusing), "{:?}", harness.phase(task(2, 0, 0)));
}

#[test]
fn a_task_that_all_workers_refused_for_a_while_goes_to_one_that_accepts_it_again() {
    let mut harness = Harness::new(4);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    let refusing_round = |harness: &mut Harness, workers: &[usize]| {
        harness.tick();
        harness.report_all();
        for number in workers {
            harness.refuse_starts(*number, Outcome::Unhealthy);
        }
        harness.execute_orders();
        harness.report_all();
        harness.wait(Duration::from_millis(100));
    };
    for _ in 0..80 {
        refusing_round(&mut harness, &[0, 1, 2, 3]);
    }
    assert!(harness.running().is_empty());
    // The pause of each worker is 2 s by now.
    let found = (0..25).any(|_| {
        refusing_round(&mut harness, &[0, 1, 2]);
        harness.worker_of(task(1, 0, 0)) == Some(3)
    });
    assert!(found, "{:?}", harness.phase(task(1, 0, 0)));
}

#[test]
fn starts_that_are_refused_together_count_as_one_refusal() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![step(6, 1_000)]), true, harness.now);
    harness.tick();
    harness.report_all();
    harness.refuse_starts(0, Outcome::NotReady);
    harness.report_all();
    harness.wait(Duration::from_millis(300));
    harness.tick();
    harness.report_all();
    assert!(!harness.ordered_starts(0).is_empty());
}

#[test]
fn a_worker_that_starts_again_is_not_paused_for_what_its_former_incarnation_refused() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    for _ in 0..60 {
        harness.tick();
        harness.report_all();
        harness.refuse_starts(0, Outcome::Unhealthy);
        harness.report_all();
        harness.wait(Duration::from_millis(100));
    }
    // The pause grows up to 2 s; one that has just begun is still to last.
    while harness.table.workers()[&name(0)].paused_until.passed(harness.now) {
        harness.tick();
        harness.report_all();
        harness.refuse_starts(0, Outcome::Unhealthy);
        harness.report_all();
    }
    harness.worker(0).restart_worker();
    harness.report_all();
    harness.wait(Duration::from_millis(100));
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 0, 0)]);
}
