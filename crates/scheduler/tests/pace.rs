//! How fast tasks that fill may work beside tasks that serve.

use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use shallotflow_policy::disturbance::Rates;
use shallotflow_scheduler::agent::pace::{Controller, Service};
use std::collections::BTreeMap;

fn at(ms: u64) -> Time {
    Time::from_millis(1_000 + ms)
}

fn served(tail_ms: u32) -> [Service; 1] {
    [Service { image: "watch".into(), tail_ms, target_ms: 50 }]
}

fn fills() -> BTreeMap<Name, f64> {
    [(Name::from("proof"), 0.2), (Name::from("cut"), 0.2)].into()
}

fn known() -> Rates {
    let mut rates = Rates::default();
    rates.set(&"watch".into(), Some(&"proof".into()), 2.0);
    rates.set(&"watch".into(), Some(&"cut".into()), 0.0);
    rates
}

#[test]
fn only_the_culprit_slows_down() {
    let mut controller = Controller::default();
    controller.decide(&served(20), &fills(), &known(), at(0));
    let paces = controller.decide(&served(60), &fills(), &known(), at(600));
    assert!(paces["proof"] <= 25 && paces["cut"] == 100, "{paces:?}");
}

#[test]
fn a_miss_that_lasts_stops_all_that_fills_within_half_of_what_is_accepted() {
    let mut controller = Controller::default();
    let mut stopped = None;
    for tick in 0..20 {
        let now = tick * 400;
        let paces = controller.decide(&served(60), &fills(), &known(), at(now));
        if paces.values().all(|pace| *pace == 0) {
            stopped = Some(now);
            break;
        }
    }
    assert!(stopped.is_some_and(|stopped| stopped <= 2_800), "{stopped:?}");
}

#[test]
fn an_unexplained_miss_slows_all_that_fills() {
    let mut controller = Controller::default();
    controller.decide(&served(20), &fills(), &Rates::default(), at(0));
    let paces = controller.decide(&served(60), &fills(), &Rates::default(), at(600));
    assert!(paces.values().all(|pace| *pace <= 25), "{paces:?}");
}

#[test]
fn a_kept_target_lets_them_get_faster_step_by_step() {
    let mut controller = Controller::default();
    controller.decide(&served(20), &fills(), &known(), at(0));
    controller.decide(&served(60), &fills(), &known(), at(600));
    let mut last = 0;
    for tick in 2..12 {
        let paces = controller.decide(&served(20), &fills(), &known(), at(tick * 600));
        assert!(paces["proof"] <= last.max(25) + 20);
        last = paces["proof"];
    }
    assert_eq!(last, 100);
}
