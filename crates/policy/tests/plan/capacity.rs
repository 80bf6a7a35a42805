//! Workers that start whatever they are told to start, with capacities that change.

use super::harness::{Harness, id, job, name, step, task};
use shallotflow_core::graph::{Step, Task};
use shallotflow_core::resources::Bundle;
use shallotflow_policy::plan::message::{End, ExitReason, Run, Status};
use std::time::Duration;
use test_case::test_case;

fn run(task: Task, run: u32) -> Run {
    Run { task, run, checkpoint: None, percent: 0, measurement: 0, pace: 100 }
}

fn needing(memory_mib: u32, accelerators: u32) -> Step {
    let need = Bundle { millicores: 1_000, memory_mib, accelerators, ..Bundle::default() };
    Step { need, ..step(20, 0) }
}

#[test]
fn a_worker_that_grows_gets_a_waiting_task_without_waiting_for_the_next_search() {
    let mut harness = Harness::new(1);
    harness.worker(0).millicores = 1_000;
    harness.report_all();
    harness.table.accept(id(1), job(vec![step(1, 4_000)]), true, harness.now);
    harness.run_round();
    assert!(harness.running().is_empty());
    harness.worker(0).millicores = 4_000;
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 0, 0)]);
}

#[test_case(needing(10, 0), |harness| harness.worker(0).millicores = 2_000 ; "processors")]
#[test_case(needing(2_500, 0), |harness| harness.worker(0).memory_mib = 5_000 ; "memory")]
#[test_case(needing(10, 1), |harness| harness.worker(0).accelerators = 2 ; "accelerators")]
fn a_worker_that_shrinks_keeps_its_runs_and_gets_no_more(step: Step, shrink: fn(&mut Harness)) {
    let mut harness = Harness::new(1);
    (harness.worker(0).millicores, harness.worker(0).accelerators) = (4_000, 4);
    harness.report_all();
    harness.table.accept(id(1), job(vec![step]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.running().len(), 4);
    shrink(&mut harness);
    for left in [4, 3, 2, 2] {
        harness.report_all();
        harness.run_round();
        assert_eq!(harness.running().len(), left);
        let first = harness.running()[0];
        harness.end(first, ExitReason::Done);
    }
}

#[test]
fn starts_that_an_agent_has_not_received_are_withdrawn_when_its_worker_shrinks_below_them() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![step(3, 3_000)]), true, harness.now);
    harness.tick();
    harness.worker(0).millicores = 3_000;
    harness.report_all();
    harness.execute_orders();
    assert!(harness.running().is_empty(), "{:?}", harness.running());
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.running().len(), 1);
}

#[test]
fn starts_that_still_fit_a_worker_that_shrinks_are_carried_out() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![step(3, 3_000)]), true, harness.now);
    harness.tick();
    harness.worker(0).millicores = 9_000;
    harness.report_all();
    harness.execute_orders();
    assert_eq!(harness.running().len(), 3);
}

#[test]
fn a_best_effort_task_does_not_start_at_a_worker_whose_processors_shrank_below_its_runs() {
    let mut harness = Harness::new(1);
    let serving = Step { target_ms: 1_000, image: Some("quotes".into()), ..step(2, 4_000) };
    harness.table.accept(id(1), job(vec![serving]), true, harness.now);
    harness.run_round();
    harness.worker(0).millicores = 7_000;
    harness.report_all();
    let best_effort = Step { best_effort: true, ..step(1, 100) };
    harness.table.accept(id(2), job(vec![best_effort]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.running().len(), 2);
    harness.end(task(1, 0, 0), ExitReason::Done);
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 0, 1), task(2, 0, 0)]);
}

#[test]
fn a_best_effort_task_reserves_memory_and_accelerators_but_no_processors() {
    let mut harness = Harness::new(1);
    harness.worker(0).accelerators = 3;
    harness.report_all();
    let fills = |step| Step { best_effort: true, ..step };
    harness.table.accept(id(1), job(vec![fills(needing(100, 1))]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.running().len(), 3, "accelerators");
    harness.table.accept(id(2), job(vec![fills(needing(2_000, 0))]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.running().len(), 3 + 4, "memory");
    harness.table.accept(id(3), job(vec![step(1, 10_000)]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.running().len(), 3 + 4 + 1, "processors");
}

#[test]
fn a_run_whose_task_another_run_has_done_counts_until_its_end_is_listed() {
    let mut harness = Harness::new(2);
    harness.worker(1).status = Status::Draining { remaining_ms: 60_000 };
    harness.report_all();
    harness.table.accept(id(1), job(vec![step(1, 10_000)]), true, harness.now);
    harness.run_round();
    harness.table.accept(id(2), job(vec![step(1, 10_000)]), true, harness.now);
    let (number, reason) = (1, ExitReason::Done);
    let end = End { number, task: task(1, 0, 0), run: 0, reason, checkpoint: None };
    harness.worker(1).ends.push(end);
    harness.report_all();
    harness.tick();
    harness.report_all();
    assert_eq!(harness.ordered_starts(0), [], "the former run is still being stopped");
    harness.execute_orders();
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.running(), [task(2, 0, 0)]);
}

#[test]
fn a_gang_member_counts_until_its_own_end_is_listed() {
    let mut harness = Harness::new(2);
    let gang = Step { gang: true, ..step(2, 6_000) };
    harness.table.accept(id(1), job(vec![gang]), true, harness.now);
    harness.run_round();
    harness.table.accept(id(2), job(vec![step(2, 6_000)]), true, harness.now);
    let first = harness.worker_of(task(1, 0, 0)).expect("a run");
    harness.end(task(1, 0, 0), ExitReason::Done);
    harness.report(first);
    harness.tick();
    harness.report_all();
    assert_eq!(harness.ordered_starts(first).len(), 1);
    assert_eq!(harness.ordered_starts(1 - first), []);
    harness.end(task(1, 0, 1), ExitReason::Done);
    harness.execute_orders();
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.running(), [task(2, 0, 0), task(2, 0, 1)]);
}

/// A successor's worker that lists a run of job 1, which has been cancelled if it is `known`.
fn taken_over(known: bool) -> Harness {
    let mut harness = Harness::owner(2, 1, vec![name(0)]);
    if known {
        harness.table.accept(id(1), job(vec![step(1, 8_000)]), false, harness.now);
        harness.table.cancel(id(1), harness.now);
    }
    harness.worker(0).running.insert(task(1, 0, 0), run(task(1, 0, 0), 1));
    harness.report_all();
    harness
}

#[test]
fn a_listed_run_of_an_ended_job_counts_until_its_end_is_listed() {
    let mut harness = taken_over(true);
    harness.table.accept(id(2), job(vec![step(3, 2_000)]), true, harness.now);
    harness.tick();
    harness.report_all();
    assert_eq!(harness.ordered_starts(0), [task(2, 0, 0)], "only one fits beside the run");
    harness.execute_orders();
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.running().len(), 3);
}

#[test]
fn nothing_starts_beside_a_run_whose_job_is_not_known() {
    let mut harness = taken_over(false);
    harness.table.accept(id(2), job(vec![step(1, 100)]), true, harness.now);
    harness.tick();
    harness.report_all();
    assert_eq!(harness.ordered_starts(0), []);
    harness.execute_orders();
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.running(), [task(2, 0, 0)]);
}

#[test_case(true ; "of an ended job")]
#[test_case(false ; "of an unknown job")]
fn a_run_counts_no_more_once_its_worker_no_longer_lists_it(known: bool) {
    let mut harness = taken_over(known);
    harness.worker(0).running.clear();
    harness.report_all();
    harness.table.accept(id(2), job(vec![step(1, 10_000)]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.running(), [task(2, 0, 0)]);
}

#[test]
fn a_run_that_is_no_longer_current_counts_towards_the_limit_per_worker() {
    let mut harness = Harness::new(2);
    harness.worker(1).status = Status::Draining { remaining_ms: 60_000 };
    harness.report_all();
    let spread = Step { per_worker: 1, ..step(2, 1_000) };
    harness.table.accept(id(1), job(vec![spread]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 0, 0)]);
    let (number, reason) = (1, ExitReason::Done);
    let end = End { number, task: task(1, 0, 0), run: 0, reason, checkpoint: None };
    harness.worker(1).ends.push(end);
    harness.report_all();
    harness.tick();
    harness.report_all();
    assert_eq!(harness.ordered_starts(0), []);
    harness.run_round();
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 0, 1)]);
}

#[test]
fn a_run_whose_job_is_forgotten_counts_until_its_end_is_listed() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![step(1, 8_000)]), true, harness.now);
    harness.run_round();
    harness.table.cancel(id(1), harness.now);
    // The agent never carries out the stop, but it reports.
    for _ in 0..160 {
        harness.wait(Duration::from_secs(1));
        harness.record();
        harness.tick();
        harness.report_all();
    }
    assert!(harness.table.job(id(1)).is_none());
    harness.table.accept(id(2), job(vec![step(1, 4_000)]), true, harness.now);
    harness.tick();
    harness.report_all();
    assert_eq!(harness.ordered_starts(0), []);
    harness.execute_orders();
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.running(), [task(2, 0, 0)]);
}

#[test]
fn a_restart_of_the_worker_frees_what_its_runs_of_ended_jobs_took() {
    let mut harness = taken_over(true);
    harness.worker(0).orders.clear();
    harness.worker(0).restart_worker();
    harness.report_all();
    harness.table.accept(id(2), job(vec![step(1, 10_000)]), true, harness.now);
    harness.run_round();
    harness.run_round();
    assert_eq!(harness.running(), [task(2, 0, 0)]);
}

#[test]
fn starts_for_a_former_incarnation_do_not_reach_the_next_one() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![step(3, 3_000)]), true, harness.now);
    harness.tick();
    harness.worker(0).restart_worker();
    harness.worker(0).millicores = 3_000;
    harness.report_all();
    assert_eq!(harness.ordered_starts(0), []);
    harness.execute_orders();
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.running().len(), 1);
}
