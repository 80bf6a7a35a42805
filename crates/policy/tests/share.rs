//! Fair shares of callers, load shedding and the accuracy of the estimates.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shallotflow_core::class::Class;
use shallotflow_policy::share::{Claim, Refusal, Settings, Table, admit};
use std::collections::HashMap;
use std::time::Duration;
use test_case::test_case;

const REMAINING: Duration = Duration::from_millis(1_000);

fn claim(caller: &str, class: Class, wait_ms: u64) -> Claim<'_> {
    let wait = Duration::from_millis(wait_ms);
    Claim { caller, class, wait, remaining: REMAINING, share_milli: 1_000, weight_milli: 1_000 }
}

/// Table in which one caller has 90 requests in progress and another has 10.
fn unequal_load() -> Table {
    let mut table = Table::new(1);
    (0..90).for_each(|_| table.enter("greedy", Class::Quick));
    (0..10).for_each(|_| table.enter("modest", Class::Quick));
    table
}

#[test_case("greedy", 0, Ok(()); "no wait")]
#[test_case("greedy", 400, Err(Refusal::OverShare); "over share under pressure")]
#[test_case("modest", 400, Ok(()); "a caller within its share is admitted")]
#[test_case("new", 400, Ok(()); "a new caller is admitted")]
#[test_case("modest", 1_600, Err(Refusal::DeadlineUnreachable); "beyond the deadline")]
fn sheds_the_caller_with_most_requests_first(
    caller: &str,
    wait_ms: u64,
    expected: Result<(), Refusal>,
) {
    let result =
        admit(&claim(caller, Class::Quick, wait_ms), &unequal_load(), &Settings::default());
    assert_eq!(result, expected);
}

#[test_case(1_000, 1_800, Ok(()); "a higher weight is admitted")]
#[test_case(800, 1_800, Err(Refusal::OverShare); "but never above the share of all requests")]
fn a_weight_raises_the_fair_share_of_a_caller(
    share_milli: u32,
    weight_milli: u32,
    expected: Result<(), Refusal>,
) {
    let claim = Claim { share_milli, weight_milli, ..claim("greedy", Class::Quick, 400) };
    assert_eq!(admit(&claim, &unequal_load(), &Settings::default()), expected);
}

#[test]
fn a_sole_caller_is_not_limited() {
    let mut table = Table::new(1);
    (0..1_000).for_each(|_| table.enter("only", Class::Quick));
    let result = admit(&claim("only", Class::Quick, 400), &table, &Settings::default());
    assert_eq!(result, Ok(()));
}

#[test]
fn watchers_have_a_separate_limit() {
    let settings = Settings { watchers: 20, ..Settings::default() };
    let mut table = unequal_load();
    (0..20).for_each(|number| table.enter(&format!("caller-{number}"), Class::Watch));
    let watch = admit(&claim("next", Class::Watch, 0), &table, &settings);
    assert_eq!(watch, Err(Refusal::Watchers));
    assert_eq!(admit(&claim("next", Class::Quick, 0), &table, &settings), Ok(()));
    table.leave("caller-3", Class::Watch);
    assert_eq!(admit(&claim("next", Class::Watch, 0), &table, &settings), Ok(()));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7), failure_persistence: None, cases: 64,
        ..ProptestConfig::default()
    })]

    #[test]
    fn estimates_are_never_too_low_and_end_at_zero(
        steps in prop::collection::vec((0_u16..3_000, any::<bool>()), 1..2_000),
        seed in any::<u64>(),
    ) {
        let mut table = Table::new(seed);
        let mut exact: HashMap<String, u32> = HashMap::new();
        for (caller, enters) in steps {
            let caller = format!("caller-{caller}");
            let count = exact.entry(caller.clone()).or_default();
            if enters {
                table.enter(&caller, Class::Quick);
                *count += 1;
            } else if *count > 0 {
                table.leave(&caller, Class::Quick);
                *count -= 1;
            }
            prop_assert!(table.in_progress(&caller, Class::Quick) >= *count);
        }
        prop_assert_eq!(table.total(Class::Quick), exact.values().sum::<u32>());
        for (caller, count) in exact {
            (0..count).for_each(|_| table.leave(&caller, Class::Quick));
        }
        prop_assert_eq!((table.total(Class::Quick), table.callers(Class::Quick)), (0, 0));
    }
}
