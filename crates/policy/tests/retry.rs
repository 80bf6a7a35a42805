//! Retries: which requests are retried, the budget, and the time limit of an attempt.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shallotflow_core::outcome::Outcome;
use shallotflow_core::time::Time;
use shallotflow_policy::injected::{self, Fault};
use shallotflow_policy::retry::{Attempt, Budget, Settings, Verdict, attempt_deadline, decide};
use std::time::Duration;
use test_case::test_case;

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![Just(Outcome::Done), Just(Outcome::NotRun), Just(Outcome::Unknown)]
}

/// Checks that a retry of `attempt` at `now`, if any, is allowed.
fn check_decision(attempt: &Attempt, now: Time) -> Result<(), TestCaseError> {
    let mut budget = Budget::new(Settings::default());
    if decide(attempt, &mut budget, now) == Verdict::Retry {
        prop_assert_ne!(attempt.outcome, Outcome::Done);
        prop_assert!(attempt.outcome == Outcome::NotRun || attempt.idempotent);
        prop_assert!(attempt.replayable);
        prop_assert!(now < attempt.deadline);
        prop_assert!(attempt.number < Settings::default().attempts);
    }
    Ok(())
}

#[test]
fn the_check_detects_an_injected_retry_of_an_unknown_outcome() {
    let attempt = Attempt {
        outcome: Outcome::Unknown,
        idempotent: false,
        replayable: true,
        number: 1,
        deadline: Time::from_millis(1_000),
    };
    check_decision(&attempt, Time::ZERO).expect("no retry");
    injected::with(Fault::RetryOfUnknown, || check_decision(&attempt, Time::ZERO))
        .expect_err("a retry");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7), failure_persistence: None, cases: 256,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_request_that_may_have_run_is_retried_only_if_idempotent(
        outcome in outcome(),
        idempotent in any::<bool>(),
        replayable in any::<bool>(),
        number in 1_u32..5,
        deadline in 0_u64..2_000,
        now in 0_u64..2_000,
    ) {
        let deadline = Time::from_millis(deadline);
        let attempt = Attempt { outcome, idempotent, replayable, number, deadline };
        check_decision(&attempt, Time::from_millis(now))?;
    }

    #[test]
    fn retries_never_exceed_burst_earned_share_and_minimum_rate(
        steps in prop::collection::vec((any::<bool>(), 0_u64..20_000), 1..600),
    ) {
        let settings = Settings { share_milli: 100, minimum_per_second: 5, burst: 10, attempts: 3 };
        let mut budget = Budget::new(settings.clone());
        let (mut earned, mut spent, mut now) = (0_u64, 0_u64, 0_u64);
        for (is_request, elapsed_us) in steps {
            now += elapsed_us;
            if is_request {
                budget.earn();
                earned += 1;
            } else {
                spent += u64::from(budget.spend(Time::from_micros(now)));
            }
            let most = 10.0 + earned as f64 * 0.1 + now as f64 * 5.0 / 1e6;
            prop_assert!(spent as f64 <= most + 1e-6, "{spent} retries, at most {most}");
        }
    }
}

#[test]
fn an_empty_budget_prevents_retries() {
    let settings = Settings { share_milli: 0, minimum_per_second: 0, burst: 2, attempts: 9 };
    let mut budget = Budget::new(settings);
    let attempt = Attempt {
        outcome: Outcome::NotRun,
        idempotent: false,
        replayable: true,
        number: 1,
        deadline: Time::NEVER,
    };
    let verdicts = [(); 3].map(|()| decide(&attempt, &mut budget, Time::ZERO));
    assert_eq!(verdicts, [Verdict::Retry, Verdict::Retry, Verdict::BudgetExhausted]);
}

#[test_case(true, true, 1, 1_000; "half of the time if retryable")]
#[test_case(false, true, 1, 2_000; "all of the time if not idempotent")]
#[test_case(true, false, 1, 2_000; "all of the time if not replayable")]
#[test_case(true, true, 3, 2_000; "all of the time for the last attempt")]
fn an_attempt_gets_part_of_the_time_if_a_retry_is_possible(
    idempotent: bool,
    replayable: bool,
    number: u32,
    until_ms: u64,
) {
    let deadline = Time::from_millis(2_000);
    let outcome = Outcome::Unknown;
    let attempt = Attempt { outcome, idempotent, replayable, number, deadline };
    let settings = Settings::default();
    let until = attempt_deadline(&attempt, Duration::from_millis(10), &settings, Time::ZERO);
    assert_eq!(until, Time::from_millis(until_ms));
    // The time of a request with a long expected latency is not shortened.
    let until = attempt_deadline(&attempt, Duration::from_millis(300), &settings, Time::ZERO);
    assert_eq!(until, deadline);
}
