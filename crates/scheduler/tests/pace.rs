//! Paces of best-effort tasks that share a worker with services.

use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use shallotflow_policy::disturbance::Rates;
use shallotflow_scheduler::agent::pace::{Controller, Service};
use std::collections::BTreeMap;

fn at(ms: u64) -> Time {
    Time::from_millis(1_000 + ms)
}

fn service(tail_ms: u32) -> [Service; 1] {
    [Service { image: "watch".into(), tail_ms, target_ms: 50 }]
}

fn best_effort() -> BTreeMap<Name, f64> {
    [(Name::from("proof"), 0.2), (Name::from("cut"), 0.2)].into()
}

fn rates() -> Rates {
    let mut rates = Rates::default();
    rates.set(&"watch".into(), Some(&"proof".into()), 2.0);
    rates.set(&"watch".into(), Some(&"cut".into()), 0.0);
    rates
}

#[test]
fn only_the_culprit_slows_down() {
    let mut controller = Controller::default();
    controller.decide(&service(20), &best_effort(), &rates(), at(0));
    let paces = controller.decide(&service(60), &best_effort(), &rates(), at(600));
    assert!(paces["proof"] <= 25 && paces["cut"] == 100, "{paces:?}");
}

#[test]
fn a_lasting_miss_stops_all_best_effort_tasks_within_half_of_what_users_accept() {
    let mut controller = Controller::default();
    let mut stopped = None;
    for tick in 0..20 {
        let now = tick * 400;
        let paces = controller.decide(&service(60), &best_effort(), &rates(), at(now));
        if paces.values().all(|pace| *pace == 0) {
            stopped = Some(now);
            break;
        }
    }
    assert!(stopped.is_some_and(|stopped| stopped <= 2_800), "{stopped:?}");
}

#[test]
fn an_unexplained_miss_slows_all_best_effort_tasks() {
    let mut controller = Controller::default();
    controller.decide(&service(20), &best_effort(), &Rates::default(), at(0));
    let paces = controller.decide(&service(60), &best_effort(), &Rates::default(), at(600));
    assert!(paces.values().all(|pace| *pace <= 25), "{paces:?}");
}

#[test]
fn a_met_target_raises_paces_step_by_step() {
    let mut controller = Controller::default();
    controller.decide(&service(20), &best_effort(), &rates(), at(0));
    controller.decide(&service(60), &best_effort(), &rates(), at(600));
    let mut last = 0;
    for tick in 2..12 {
        let paces = controller.decide(&service(20), &best_effort(), &rates(), at(tick * 600));
        assert!(paces["proof"] <= last.max(25) + 20);
        last = paces["proof"];
    }
    assert_eq!(last, 100);
}

/// Guards against images that are slowed down, or not sped up again, for a miss that they cannot have caused.
#[test]
fn an_image_is_not_slowed_down_for_a_service_that_misses_its_target_by_its_own_load() {
    let mut rates = Rates::default();
    rates.set(&"watch".into(), Some(&"cut".into()), 0.3);
    let mut controller = Controller::default();
    let mut beside: BTreeMap<Name, f64> = [(Name::from("cut"), 0.2)].into();
    controller.decide(&service(20), &beside, &rates, at(0));
    let paces = controller.decide(&service(80), &beside, &rates, at(600));
    assert_eq!(paces["cut"], 100);
    // One whose effect is not known may be the cause.
    beside.insert(Name::from("new"), 0.2);
    let paces = controller.decide(&service(80), &beside, &rates, at(1_200));
    assert!(paces["cut"] == 100 && paces["new"] <= 25, "{paces:?}");
}
