//! Gangs: tasks that work only together.

use super::floor::{Floor, id, job, step};
use shallotflow_core::graph::{State, Step};
use shallotflow_policy::plan::message::ExitReason;

#[test]
fn a_gang_starts_as_a_whole_with_one_run_number() {
    let mut floor = Floor::new(2);
    let gang = Step { gang: true, ..step(5, 4_000) };
    floor.table.accept(id(1), job(vec![gang]), true, floor.now);
    floor.turn();
    assert!(floor.running().is_empty(), "two workers hold four of the five");
    let mut floor = Floor::new(3);
    let gang = Step { gang: true, ..step(5, 4_000) };
    floor.table.accept(id(1), job(vec![gang]), true, floor.now);
    floor.turn();
    assert_eq!(floor.running().len(), 5);
    let runs: Vec<u32> =
        floor.hands.values().flat_map(|hand| hand.running.values().map(|run| run.run)).collect();
    assert!(runs.iter().all(|run| *run == runs[0]));
}

#[test]
fn the_end_of_one_member_ends_the_gang() {
    let mut floor = Floor::new(3);
    let gang = Step { gang: true, ..step(3, 4_000) };
    floor.table.accept(id(1), job(vec![gang]), true, floor.now);
    floor.turn();
    let first = floor.running()[0];
    floor.end(first, ExitReason::Done);
    floor.report_all();
    floor.record();
    assert_eq!(floor.table.visible_state("renders", id(1)), Some(State::Completed));
}

#[test]
fn a_gang_that_failed_as_often_as_allowed_has_failed() {
    let mut floor = Floor::new(3);
    let gang = Step { gang: true, ..step(3, 4_000) };
    floor.table.accept(id(1), job(vec![gang]), true, floor.now);
    for _ in 0..2 {
        floor.turn();
        let members = floor.running();
        assert_eq!(members.len(), 3);
        // Another member fails each time; the others break off.
        floor.end(members[0], ExitReason::Broken);
        floor.end(members[1], ExitReason::Failed);
        floor.end(members[2], ExitReason::Broken);
        floor.report_all();
    }
    floor.turn();
    assert!(floor.running().is_empty());
    floor.record();
    assert_eq!(floor.table.visible_state("renders", id(1)), Some(State::Failed));
}
