//! Workers that start whatever they are told to start, with capacities that change.

use super::harness::{Harness, id, job, step, task};
use shallotflow_core::graph::Step;
use shallotflow_core::resources::Bundle;
use shallotflow_policy::plan::message::ExitReason;
use test_case::test_case;

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
