//! The load generator: schedules, accounting and the matching of answers with requests.

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shallotflow_bench::echo::Echo;
use shallotflow_bench::load::generator::{Running, Settings};
use shallotflow_bench::load::schedule::Schedule;
use shallotflow_bench::load::tally::{Completion, Tally};
use shallotflow_bench::load::token::Token;
use shallotflow_bench::testbed::{Surge, Testbed};
use shallotflow_core::class::Class;
use shallotflow_core::outcome::Outcome;
use std::time::Duration;

const RUN: Duration = Duration::from_secs(20);

const SMALL: &str = "
[floor]
name = small
[capacity]
slots = 4
connections = 16
millicores = 8000
memory_mib = 8000
[surge]
factor = 2
[kind check]
class = quick
rate = 100
median = 2ms
[kind render]
class = batch
rate = 10
median = 20ms
idempotent = false
[kind sync]
class = watch
rate = 5
median = 50ms
";

fn arrivals(factor: u32, seed: u64) -> Vec<Duration> {
    let surge = Surge { factor, ..Surge::default() };
    Schedule::new(200.0, surge, RUN, seed).collect()
}

#[test]
fn arrivals_are_the_same_for_the_same_seed_only() {
    assert_eq!(arrivals(5, 7), arrivals(5, 7));
    assert_ne!(arrivals(5, 7), arrivals(5, 8));
}

#[test]
fn arrivals_follow_the_rate_and_the_surge() {
    let all = arrivals(5, 7);
    assert!(all.is_sorted());
    let (begin, end) = Surge::default().window(RUN);
    let risen = begin + Duration::from_secs(1);
    let count = |from, to| all.iter().filter(|at| (from..to).contains(*at)).count() as f64;
    let base = count(Duration::ZERO, begin) / begin.as_secs_f64();
    let surge = count(risen, end) / (end - risen).as_secs_f64();
    assert!((base - 200.0).abs() < 20.0, "{base} a second before the surge");
    assert!((surge - 1_000.0).abs() < 100.0, "{surge} a second at the surge");
}

#[test]
fn a_kind_with_rate_zero_has_no_arrivals() {
    assert_eq!(Schedule::steady(0.0, RUN, 1).count(), 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn only_the_complete_answer_to_the_same_request_matches(
        thread in any::<u16>(),
        numbers in (0_u64..1 << 48, 0_u64..1 << 48),
        bytes in 16_usize..600,
        cut in 0_usize..600,
    ) {
        let own = Token::new(thread, numbers.0);
        let sent = own.body(bytes);
        prop_assert!(own.matches(&sent, &Bytes::copy_from_slice(&sent)));
        prop_assert!(!own.matches(&sent, &sent.slice(..cut % bytes)));
        if numbers.0 != numbers.1 {
            let other = Token::new(thread, numbers.1);
            prop_assert!(!own.matches(&sent, &other.body(bytes)));
        }
    }

    #[test]
    fn every_request_is_counted_once(outcomes in prop::collection::vec(0_u8..3, 0..200)) {
        let mut halves = [Tally::default(), Tally::default()];
        for (number, outcome) in outcomes.iter().enumerate() {
            let due = Duration::from_millis(number as u64 * 10);
            let latency = Duration::from_millis(number as u64 + 1);
            let outcome =
                [Outcome::Done, Outcome::NotRun, Outcome::Unknown][usize::from(*outcome)];
            let tally = &mut halves[number % 2];
            tally.record_sent(due, Duration::ZERO);
            tally.record_end(&Completion {
                token: Token::new(0, number as u64),
                due,
                latency,
                waited: latency,
                outcome,
                intact: true,
                in_time: number % 3 == 0,
            });
        }
        let [mut sum, other] = halves;
        sum.merge(other);
        prop_assert_eq!(sum.open(), 0);
        prop_assert_eq!(sum.sent, outcomes.len() as u64);
        prop_assert_eq!(sum.latency.len(), sum.done);
        prop_assert_eq!(sum.not_run_tokens.len() as u64, sum.not_run);
        prop_assert_eq!(sum.windows.iter().map(|window| window.sent).sum::<u64>(), sum.sent);
        prop_assert_eq!(sum.windows.iter().map(|window| window.done).sum::<u64>(), sum.done);
        prop_assert_eq!(sum.windows.iter().map(|w| w.in_time).sum::<u64>(), sum.in_time);
        prop_assert_eq!(sum.corrupted, 0);
    }
}

#[test]
fn every_request_and_job_of_a_load_on_an_echo_server_is_counted() {
    let testbed = Testbed::parse("small", SMALL).expect("a valid testbed");
    let echo = Echo::start().expect("an echo");
    let run = Duration::from_secs(1);
    let settings = Settings { address: echo.address, run, ..Settings::default() };
    let running = Running::start(&testbed, &settings).expect("a running load");
    let outcomes = running.join().expect("the outcomes");
    echo.stop().expect("an echo that ran to its end");
    for class in [Class::Quick, Class::Watch] {
        let tally = outcomes.of_class(class);
        assert!(tally.sent > 0, "{class}");
        assert_eq!((tally.done, tally.corrupted), (tally.sent, 0), "{class}");
    }
    let jobs = &outcomes.jobs;
    assert!(jobs.due > 0);
    assert_eq!((jobs.submitted, jobs.done, jobs.open()), (jobs.due, jobs.due, 0));
}
