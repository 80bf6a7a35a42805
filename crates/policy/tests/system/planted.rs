//! Faults that are planted into single decisions are found, each by its promise.

use super::machine::{Plan, System};
use super::promises;
use super::world::World;
use proptest::strategy::Strategy;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use shallotflow_policy::injected::{self, Fault};
use test_case::test_case;

/// Runs within which a planted fault must be found.
const CASES_MAX: usize = 4_000;

/// Runs until a promise is broken; returns which one, and the number of runs that it took.
fn search(fault: Fault) -> Option<(&'static str, usize)> {
    let mut runner = TestRunner::new(promises::config());
    let strategy = Plan::sequential_strategy(40..240);
    for case in 1..=CASES_MAX {
        let tree = strategy.new_tree(&mut runner).expect("a sequence of steps");
        let ((), steps, _) = tree.current();
        let world = injected::with(fault, || run(steps));
        if let Some((promise, _)) = world.facts.violations().first() {
            return Some((promise, case));
        }
    }
    None
}

fn run(steps: Vec<<Plan as ReferenceStateMachine>::Transition>) -> World {
    let mut world = System::init_test(&());
    for step in steps {
        world.step(step);
    }
    world.heal();
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
fn a_planted_fault_is_found(fault: Fault, promises: &[&str]) {
    let found = search(fault);
    let (promise, cases) = found.unwrap_or_else(|| panic!("{fault} was not found"));
    println!("{fault}: {promise} after {cases} runs");
    assert!(promises.contains(&promise), "{fault} was found by {promise}");
}
