//! The decision whether a task waits for a slot in its rack.

use shallotflow_core::time::Time;
use shallotflow_policy::plan::{Decision, Locality};
use std::time::Duration;
use test_case::test_case;

const NOW: Time = Time::from_millis(100_000);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A task of two seconds that takes three elsewhere, in a rack without room, ready just now.
fn locality(expected_wait: Option<Duration>) -> Locality {
    Locality {
        now: NOW,
        ready_since: NOW,
        duration: ms(2_000),
        spread_factor: 1.5,
        latest_start: Time::NEVER,
        has_room: false,
        expected_wait,
        arrival_rate: 0.0,
        demand: 0.0,
    }
}

#[test]
fn in_a_surge_a_task_waits_only_for_a_slot_that_would_stay_idle_otherwise() {
    // In a surge, a queue for the rack delays every task and lets no more of them start there.
    let surge = |expected| {
        let locality = locality(Some(ms(expected)));
        Locality { arrival_rate: 12.0, demand: 2.4, ..locality }.decide()
    };
    // ln(1.5) / 12 s = 34 ms.
    assert_eq!(surge(33), Decision::Wait(NOW.after(ms(1_000))));
    assert_eq!(surge(35), Decision::Elsewhere);
}

#[test]
fn many_tasks_that_the_rack_can_run_all_wait_for_it() {
    // A large rack gets many tasks without a surge.
    let locality = locality(Some(ms(900)));
    let busy = Locality { arrival_rate: 100.0, demand: 0.95, ..locality };
    assert_eq!(busy.decide(), Decision::Wait(NOW.after(ms(1_000))));
}

#[test]
fn a_task_starts_in_its_rack_if_there_is_room() {
    // A task must not be held back where nothing has to be weighed.
    let locality = Locality { has_room: true, ..locality(Some(ms(1))) };
    assert_eq!(locality.decide(), Decision::Here);
}

#[test_case(Some(0), true ; "now")]
#[test_case(Some(1_000), true ; "after as long as a start elsewhere adds")]
#[test_case(Some(1_001), false ; "later than that")]
#[test_case(None, false ; "never")]
fn a_task_waits_if_that_is_shorter_than_what_a_start_elsewhere_adds(
    expected_ms: Option<u64>,
    waits: bool,
) {
    // A longer wait would make the task end later than without it.
    let decision = locality(expected_ms.map(ms)).decide();
    let wait = Decision::Wait(NOW.after(ms(1_000)));
    assert_eq!(decision, if waits { wait } else { Decision::Elsewhere });
}

#[test]
fn the_time_already_waited_counts_towards_the_bound() {
    // Otherwise a wait whose expectation is always a little too short would never end.
    let waited = |waited, expected| {
        let locality = locality(Some(ms(expected)));
        Locality { ready_since: NOW.before(ms(waited)), ..locality }.decide()
    };
    assert_eq!(waited(600, 400), Decision::Wait(NOW.after(ms(400))));
    assert_eq!(waited(600, 401), Decision::Elsewhere);
    assert_eq!(waited(1_000, 0), Decision::Elsewhere, "the bound has passed");
}

#[test]
fn a_wait_leaves_enough_of_the_objective_for_a_start_elsewhere() {
    // A slot that does not become free as expected must not make the job miss its objective.
    let slack = |slack, expected| {
        let locality = locality(Some(ms(expected)));
        Locality { latest_start: NOW.after(ms(slack)), ..locality }.decide()
    };
    assert_eq!(slack(1_300, 300), Decision::Wait(NOW.after(ms(300))));
    assert_eq!(slack(1_300, 301), Decision::Elsewhere);
}

#[test]
fn a_task_that_can_be_in_time_only_in_its_rack_waits_as_long_as_that_is_so() {
    let slack = |slack, expected| {
        let locality = locality(Some(ms(expected)));
        Locality { latest_start: NOW.after(ms(slack)), ..locality }.decide()
    };
    assert_eq!(slack(700, 700), Decision::Wait(NOW.after(ms(700))));
    assert_eq!(slack(700, 701), Decision::Elsewhere);
}

#[test]
fn nothing_waits_once_its_objective_cannot_be_met() {
    // Nothing is left of the objective, and the bound never exceeds that.
    let late = Locality { latest_start: NOW.before(ms(1)), ..locality(Some(ms(1))) };
    assert_eq!(late.decide(), Decision::Elsewhere);
}

#[test_case(1.0 ; "no slower elsewhere")]
#[test_case(0.5 ; "a factor below one")]
#[test_case(f64::NAN ; "a factor that is no number")]
fn nothing_waits_without_a_gain(spread_factor: f64) {
    // Settings are checked where they are read; the decision must not panic on any value.
    let locality = Locality { spread_factor, ..locality(Some(ms(1))) };
    assert_eq!(locality.decide(), Decision::Elsewhere);
}

#[test]
fn a_task_of_unknown_duration_does_not_wait() {
    let unknown = Locality { duration: Duration::ZERO, ..locality(Some(ms(1))) };
    assert_eq!(unknown.decide(), Decision::Elsewhere);
}

#[test]
fn a_wait_that_has_ended_does_not_begin_again() {
    // The limit that leaves time for a start elsewhere must not give way to the later one of a task
    // that can be in time only in its rack.
    let task = Locality { latest_start: NOW.after(ms(1_300)), ..locality(Some(ms(10))) };
    for later in [300, 310, 600, 1_299] {
        let decision = Locality { now: NOW.after(ms(later)), ..task }.decide();
        assert_eq!(decision, Decision::Elsewhere, "{later} ms later");
    }
}
