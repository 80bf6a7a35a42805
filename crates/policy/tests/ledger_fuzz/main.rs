//! Tests of batch jobs under all faults combined, checked against what fake workers and callers
//! observe.
//!
//! The test checks these invariants:
//!
//! - a job never runs on two workers at once;
//! - a job that is not idempotent starts at most once from the beginning, and resumes at most once
//!   from each checkpoint;
//! - a job whose end was returned to a caller never starts again and never changes;
//! - a job whose submission was refused as not run never runs;
//! - failures are bounded;
//! - a reply grants no more than the reported free capacity;
//! - once the faults stop, every job ends.

mod agent;
mod oracle;
mod step;
mod store;
mod world;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use world::World;

const STEPS: std::ops::Range<usize> = 50..400;

fn config() -> ProptestConfig {
    let cases = std::env::var("LEDGER_CASES").ok().and_then(|cases| cases.parse().ok());
    let seed = std::env::var("LEDGER_SEED").ok().and_then(|seed| seed.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(1_000),
        rng_seed: RngSeed::Fixed(seed.unwrap_or(7)),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn invariants_hold_under_all_faults(
        steps in proptest::collection::vec(step::step(), STEPS)
    ) {
        let mut world = World::new();
        world.start();
        for step in steps {
            world.apply(step);
        }
        world.settle();
        prop_assert!(world.starts > 0, "nothing was ever granted");
    }
}
