//! Gangs: tasks that can only run together.

use super::harness::{Harness, id, job, step};
use shallotflow_core::graph::{State, Step};
use shallotflow_policy::plan::message::ExitReason;

#[test]
fn a_gang_starts_as_a_whole_with_one_run_number() {
    let mut harness = Harness::new(2);
    let gang = Step { gang: true, ..step(5, 4_000) };
    harness.table.accept(id(1), job(vec![gang]), true, harness.now);
    harness.run_round();
    assert!(harness.running().is_empty(), "two workers hold four of the five");
    let mut harness = Harness::new(3);
    let gang = Step { gang: true, ..step(5, 4_000) };
    harness.table.accept(id(1), job(vec![gang]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.running().len(), 5);
    let runs: Vec<u32> = harness
        .workers
        .values()
        .flat_map(|worker| worker.running.values().map(|run| run.run))
        .collect();
    assert!(runs.iter().all(|run| *run == runs[0]));
}

#[test]
fn the_end_of_one_member_ends_the_gang() {
    let mut harness = Harness::new(3);
    let gang = Step { gang: true, ..step(3, 4_000) };
    harness.table.accept(id(1), job(vec![gang]), true, harness.now);
    harness.run_round();
    let first = harness.running()[0];
    harness.end(first, ExitReason::Done);
    harness.report_all();
    harness.record();
    assert_eq!(harness.table.visible_state("renders", id(1)), Some(State::Completed));
}

#[test]
fn a_gang_fails_after_its_allowed_attempts() {
    let mut harness = Harness::new(3);
    let gang = Step { gang: true, ..step(3, 4_000) };
    harness.table.accept(id(1), job(vec![gang]), true, harness.now);
    for _ in 0..2 {
        harness.run_round();
        let members = harness.running();
        assert_eq!(members.len(), 3);
        // One member fails in each attempt, and the others end because of it.
        harness.end(members[0], ExitReason::Broken);
        harness.end(members[1], ExitReason::Failed);
        harness.end(members[2], ExitReason::Broken);
        harness.report_all();
    }
    harness.run_round();
    assert!(harness.running().is_empty());
    harness.record();
    assert_eq!(harness.table.visible_state("renders", id(1)), Some(State::Failed));
}
