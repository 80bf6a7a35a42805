//! Tests that the simulation finds each injected fault by the invariant that it violates.

use super::invariants;
use super::machine::{Plan, System};
use super::world::World;
use proptest::strategy::Strategy;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use shallotflow_policy::injected::{self, Fault};
use test_case::test_case;

/// Number of runs within which an injected fault must be found.
const CASES_MAX: usize = 4_000;

/// Runs until an invariant is violated; returns its name and the number of runs.
fn search(fault: Fault) -> Option<(&'static str, usize)> {
    let mut runner = TestRunner::new(invariants::config());
    let strategy = Plan::sequential_strategy(40..240);
    for case in 1..=CASES_MAX {
        let tree = strategy.new_tree(&mut runner).expect("a sequence of steps");
        let ((), steps, _) = tree.current();
        let world = injected::with(fault, || run(steps));
        if let Some((invariant, _)) = world.oracle.violations().first() {
            return Some((invariant, case));
        }
    }
    None
}

fn run(steps: Vec<<Plan as ReferenceStateMachine>::Transition>) -> World {
    let mut world = System::init_test(&());
    for step in steps {
        world.step(step);
    }
    world.recover();
    world
}

#[test_case(Fault::GrantBeforeCommit, &["at-most-once", "one-worker-at-a-time", "resume-once"])]
#[test_case(Fault::GrantBeforeLeaseEnd, &["one-worker-at-a-time"])]
#[test_case(Fault::LeaseEndsEarly, &["one-worker-at-a-time"])]
#[test_case(Fault::RerunOfUnknown, &["at-most-once"])]
#[test_case(Fault::CheckpointReused, &["resume-once"])]
#[test_case(Fault::CancelIgnored, &["cancelled-never-starts", "nothing-lost"])]
#[test_case(Fault::AckBeforeCommit, &["end-is-kept"])]
#[test_case(Fault::RetryOfFailed, &["at-most-once"])]
#[test_case(Fault::FenceSkipped, &["at-most-once", "one-worker-at-a-time"])]
#[test_case(Fault::LeaseFromArrival, &["cancelled-never-starts", "one-worker-at-a-time"])]
#[test_case(Fault::BatchUsageIgnored, &["capacity"])]
fn an_injected_fault_is_found(fault: Fault, invariants: &[&str]) {
    let found = search(fault);
    let (invariant, cases) = found.unwrap_or_else(|| panic!("{fault} was not found"));
    println!("{fault}: {invariant} after {cases} runs");
    assert!(invariants.contains(&invariant), "{fault} was found by {invariant}");
}
