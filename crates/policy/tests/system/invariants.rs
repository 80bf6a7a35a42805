//! Tests that random runs violate no invariant.
//!
//! For long searches, set the number of runs and their seed with `SHALLOTFLOW_FUZZ_CASES` and
//! `SHALLOTFLOW_FUZZ_SEED`; without them, the test is deterministic.

use super::machine::System;
use proptest::test_runner::{Config, RngSeed};

const CASES: u32 = 300;
const SEED: u64 = 20_261_204;

/// Returns the number in the environment variable `name`, or `default` if it is not set.
fn setting(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(default, |text| text.parse().expect("a whole number"))
}

pub(crate) fn config() -> Config {
    let cases = setting("SHALLOTFLOW_FUZZ_CASES", CASES.into());
    Config {
        cases: u32::try_from(cases).expect("a number of cases that fits"),
        rng_seed: RngSeed::Fixed(setting("SHALLOTFLOW_FUZZ_SEED", SEED)),
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..Config::default()
    }
}

proptest_state_machine::prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn every_invariant_holds_under_failure(sequential 40..240 => System);
}
