//! The simulation as a `proptest` state machine.

use super::world::{Step, World};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Number of jobs in a run.
const JOBS: u8 = 10;

/// The reference machine; it has no state, because the oracle is part of the simulation.
#[derive(Clone, Debug)]
pub(crate) struct Plan;

impl ReferenceStateMachine for Plan {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let any = any::<u8>;
        prop_oneof![
            8 => (1_u16..600).prop_map(Step::Advance),
            10 => (0..JOBS).prop_map(Step::Submit),
            2 => (0..JOBS).prop_map(Step::Cancel),
            10 => any().prop_map(Step::Renew),
            4 => any().prop_map(Step::Claim),
            6 => any().prop_map(Step::Write),
            8 => any().prop_map(Step::TickAgent),
            8 => (any(), any()).prop_map(|(agent, entry)| Step::Report { agent, entry }),
            12 => (1_u8..6).prop_map(Step::DeliverSome),
            6 => any().prop_map(Step::Deliver),
            4 => any().prop_map(Step::Drop),
            3 => any().prop_map(Step::Duplicate),
            5 => any().prop_map(Step::Hold),
            5 => any().prop_map(Step::Release),
            4 => any().prop_map(Step::Answer),
            4 => (any(), 500_u16..5_000)
                .prop_map(|(entry, millis)| Step::HoldReplies { entry, millis }),
            4 => (any(), 3_000_u16..12_000)
                .prop_map(|(entry, millis)| Step::BlockRenewal { entry, millis }),
            8 => any().prop_map(|agent| Step::DeliverCommand { agent, lost: false }),
            1 => any().prop_map(|agent| Step::DeliverCommand { agent, lost: true }),
            3 => (any(), any()).prop_map(|(worker, task)| Step::Checkpoint { worker, task }),
            2 => (any(), any(), prop::bool::weighted(0.7))
                .prop_map(|(worker, task, ok)| Step::Finish { worker, task, ok }),
            3 => (any(), any()).prop_map(|(agent, task)| Step::Evict { agent, task }),
            1 => any().prop_map(Step::RestartEntry),
            1 => any().prop_map(Step::RestartAgent),
            1 => any().prop_map(Step::RestartWorker),
            2 => (any(), 100_u16..12_000)
                .prop_map(|(entry, millis)| Step::PauseEntry { entry, millis }),
            2 => (any(), 100_u16..12_000)
                .prop_map(|(agent, millis)| Step::PauseAgent { agent, millis }),
            1 => (100_u16..12_000).prop_map(Step::StoreDown),
            16 => Just(Step::Rounds(1)),
            6 => (2_u8..14).prop_map(Step::Rounds),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// The system under test.
pub(crate) struct System;

impl StateMachineTest for System {
    type SystemUnderTest = World;
    type Reference = Plan;

    fn init_test((): &()) -> World {
        World::started()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.step(step);
        world
    }

    fn check_invariants(world: &World, (): &()) {
        assert!(world.oracle.violations().is_empty(), "{:?}", world.oracle.violations());
    }

    fn teardown(mut world: World, (): ()) {
        world.recover();
        Self::check_invariants(&world, &());
    }
}
