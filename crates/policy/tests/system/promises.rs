//! Random runs keep every promise.
//!
//! `SHALLOTFLOW_FUZZ_CASES` and `SHALLOTFLOW_FUZZ_SEED` set the number of runs and their seed for
//! long searches; without them every run of the tests is the same.

use super::machine::System;
use proptest::test_runner::{Config, RngSeed};

const CASES: u32 = 300;
const SEED: u64 = 20_261_204;

/// The number in the environment variable `name`, else `default`.
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
    fn every_promise_holds_under_failure(sequential 40..240 => System);
}
