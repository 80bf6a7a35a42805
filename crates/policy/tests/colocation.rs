//! Tests of the reserve, eviction, disturbance and estimates.

use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::task::Key;
use shallotflow_core::time::Time;
use shallotflow_policy::disturbance::{self, History};
use shallotflow_policy::estimate;
use shallotflow_policy::evict::{Candidate, Command, Controller, Pressure, Settings};
use shallotflow_policy::reserve::{self, Peak};
use std::slice::from_ref;
use std::time::Duration;

const CAPACITY: Bundle =
    Bundle { slots: 8, connections: 64, millicores: 8_000, memory_mib: 8_000, accelerators: 0 };

fn slots(slots: u32) -> Bundle {
    Bundle { slots, ..Bundle::default() }
}

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

fn task(job: &str, unsaved_ms: u64, added_milli: u32) -> Candidate {
    Candidate {
        key: Key { ledger: 1, job: job.into(), attempt: 1 },
        resources: slots(1),
        share_milli: 1_000,
        added_milli,
        unsaved_ms,
        urgent: false,
        stopping: false,
    }
}

fn evicted(commands: &[Command]) -> Vec<String> {
    let job = |command: &Command| match command {
        Command::Evict(key) => Some(key.job.to_string()),
        Command::Throttle(..) => None,
    };
    commands.iter().filter_map(job).collect()
}

#[test]
fn the_reserve_rises_fast_with_mean_demand_and_decays_by_half_lives() {
    let settings = reserve::Settings {
        window: Duration::from_millis(200),
        deviations_milli: 0,
        minimum_milli: 125,
        half_life: Duration::from_secs(10),
        ..reserve::Settings::default()
    };
    let mut peak = Peak::new(settings);
    assert_eq!(peak.reserve(&CAPACITY, at(0)).slots, 1);
    peak.observe(&slots(6), at(0));
    peak.observe(&slots(0), at(10));
    assert_eq!(peak.reserve(&CAPACITY, at(10)).slots, 1, "a short overlap is not a peak");
    peak.observe(&slots(6), at(20));
    peak.observe(&slots(0), at(2_020));
    assert_eq!(peak.reserve(&CAPACITY, at(2_020)).slots, 6);
    peak.observe(&slots(0), at(12_020));
    assert_eq!(peak.reserve(&CAPACITY, at(12_020)).slots, 3);
    peak.observe(&slots(20), at(12_030));
    assert_eq!(
        peak.reserve(&CAPACITY, at(14_030)).slots,
        3,
        "demand counts only after it has lasted"
    );
    peak.observe(&slots(20), at(14_030));
    assert_eq!(peak.reserve(&CAPACITY, at(14_030)).slots, 7, "the maximum applies");
}

#[test]
fn the_reserve_adds_the_deviations_of_random_arrivals() {
    let settings = reserve::Settings { deviations_milli: 1_500, ..reserve::Settings::default() };
    let mut peak = Peak::new(settings);
    peak.observe(&slots(2), at(0));
    peak.observe(&slots(2), at(10_000));
    // 2 + 1.5 * sqrt(2) is slightly more than 4.
    assert_eq!(peak.reserve(&CAPACITY, at(10_000)).slots, 5);
}

#[test]
fn a_shortage_evicts_the_least_unsaved_work_first_and_only_as_much_as_needed() {
    let mut controller = Controller::new(Settings::default());
    let tasks = [task("old", 900, 0), task("young", 10, 0), task("middle", 100, 0)];
    let pressure = Pressure {
        wait: Duration::from_millis(20),
        shortage: slots(2),
        slowdown_milli: 1_000,
        ..Pressure::default()
    };
    assert_eq!(evicted(&controller.tick(&pressure, &tasks, at(0))), ["young", "middle"]);
    let leaving = [task("old", 900, 0), Candidate { stopping: true, ..task("young", 10, 0) }];
    let one_short = Pressure { shortage: slots(1), ..pressure };
    assert!(evicted(&controller.tick(&one_short, &leaving, at(5))).is_empty());
    let brief = Pressure { wait: Duration::from_millis(1), ..pressure };
    assert!(evicted(&controller.tick(&brief, &tasks, at(10))).is_empty());
}

#[test]
fn urgent_tasks_are_evicted_last_and_evictions_are_rate_limited() {
    let settings = Settings { per_second: 2, burst: 2, ..Settings::default() };
    let mut controller = Controller::new(settings);
    let urgent = Candidate { urgent: true, ..task("urgent", 0, 0) };
    let tasks = [urgent, task("a", 5, 0), task("b", 6, 0), task("c", 7, 0)];
    let pressure = Pressure { excess: slots(4), slowdown_milli: 1_000, ..Pressure::default() };
    assert_eq!(evicted(&controller.tick(&pressure, &tasks, at(0))), ["a", "b"]);
    let remaining = [tasks[0].clone(), tasks[3].clone()];
    assert!(evicted(&controller.tick(&pressure, &remaining, at(100))).is_empty());
    assert_eq!(evicted(&controller.tick(&pressure, &remaining, at(1_100))), ["c", "urgent"]);
}

#[test]
fn a_slowdown_throttles_in_steps_and_a_calm_period_steps_back() {
    let mut controller = Controller::new(Settings::default());
    let tasks = [task("noisy", 5, 300), task("quiet", 5, 10)];
    let slow = Pressure { slowdown_milli: 1_300, ..Pressure::default() };
    let noisy = tasks[0].key.clone();
    assert_eq!(controller.tick(&slow, &tasks, at(0)), [Command::Throttle(noisy, 800)]);
    assert_eq!(controller.step(), 1);
    controller.tick(&slow, &tasks, at(10));
    assert_eq!(controller.step(), 1, "the shortest time between steps has not passed");
    // A step down would make quick work slow again.
    let between = Pressure { slowdown_milli: 1_240, ..Pressure::default() };
    controller.tick(&between, &tasks, at(5_000));
    assert_eq!(controller.step(), 1, "no step down that would make quick work slow");
    let calm = Pressure { slowdown_milli: 1_000, ..Pressure::default() };
    controller.tick(&calm, &tasks, at(5_001));
    controller.tick(&calm, &tasks, at(5_900));
    assert_eq!(controller.step(), 1);
    controller.tick(&calm, &tasks, at(6_001));
    assert_eq!(controller.step(), 0);
}

#[test]
fn new_tasks_are_admitted_while_quick_work_stays_fast() {
    let controller = Controller::new(Settings::default());
    assert_eq!(controller.admits(1_000, 120, 1), 2);
    assert_eq!(controller.admits(1_240, 120, 2), 0);
    assert_eq!(controller.admits(1_290, 120, 0), 1, "one task may always run");
    assert_eq!(controller.admits(1_290, 10, 5), u32::MAX, "harmless tasks are not counted");
}

#[test]
fn a_slowdown_that_persists_at_the_last_step_evicts_one_task_at_a_time() {
    let mut controller = Controller::new(Settings::default());
    let tasks = [task("a", 5, 300), task("b", 6, 300)];
    let slow = Pressure { slowdown_milli: 2_000, ..Pressure::default() };
    for step in 0..4 {
        assert!(evicted(&controller.tick(&slow, &tasks, at(step * 100))).is_empty());
    }
    assert_eq!(evicted(&controller.tick(&slow, &tasks, at(400))), ["a"]);
    assert!(evicted(&controller.tick(&slow, &tasks, at(410))).is_empty());
}

#[test]
fn pairs_are_learned_separately_and_decay_to_the_prior() {
    let settings = disturbance::Settings::default();
    let half_life = settings.half_life;
    let mut table = disturbance::Table::new(settings);
    let (clerk, noisy, quiet): (Name, Name, Name) =
        ("clerk".into(), "noisy".into(), "quiet".into());
    for round in 0..200 {
        table.learn(&clerk, from_ref(&noisy), 1.5, at(round));
        table.learn(&clerk, from_ref(&quiet), 1.0, at(round));
        table.learn(&clerk, &[noisy.clone(), quiet.clone()], 1.5, at(round));
    }
    let now = at(200);
    assert!((table.added(&clerk, &noisy, now) - 0.5).abs() < 0.01);
    assert!(table.added(&clerk, &quiet, now) < 0.01);
    let later = now.after(half_life * 10);
    assert!((table.added(&clerk, &noisy, later) - 0.02).abs() < 0.01, "back at the prior");
}

#[test]
fn tables_stay_within_their_bounds() {
    let settings = disturbance::Settings { pairs: 10, ..disturbance::Settings::default() };
    let mut pairs = disturbance::Table::new(settings);
    let settings = estimate::Settings { kinds: 10, ..estimate::Settings::default() };
    let mut kinds = estimate::Table::new(settings);
    for number in 0..100 {
        let kind = Name::from(format!("kind-{number}"));
        pairs.learn(&"clerk".into(), from_ref(&kind), 1.5, at(number));
        pairs.learn(&"clerk".into(), from_ref(&kind), f64::NAN, at(number));
        kinds.learn_usage(&kind, &CAPACITY, &CAPACITY, at(number));
    }
    assert_eq!((pairs.len(), kinds.len()), (10, 10));
    assert!(pairs.added("clerk", "kind-99", at(100)) > pairs.added("clerk", "kind-1", at(100)));
}

#[test]
fn a_late_report_finds_the_kinds_that_ran_at_its_time() {
    let mut history = History::new(disturbance::Settings::default());
    assert_eq!(history.at(at(0)), None);
    history.record(&["a".into()], at(100));
    history.record(&["b".into()], at(200));
    assert_eq!(history.at(at(50)), None);
    assert_eq!(history.at(at(150)), Some(&["a".into()][..]));
    assert_eq!(history.at(at(900)), Some(&["b".into()][..]));
}

#[test]
fn declared_sizes_are_corrected_up_at_once_and_down_after_samples() {
    let mut table = estimate::Table::new(estimate::Settings::default());
    let declared = Bundle { memory_mib: 100, millicores: 1_000, ..slots(1) };
    let kind = Name::from("render");
    assert_eq!(table.need(&kind, &declared), declared);
    let large = Bundle { memory_mib: 1_000, ..declared };
    table.learn_usage(&kind, &large, &declared, at(0));
    assert_eq!(table.need(&kind, &declared).memory_mib, 1_150);
    let small = Bundle { memory_mib: 10, millicores: 100, ..declared };
    let sync = Name::from("sync");
    table.learn_usage(&sync, &small, &declared, at(0));
    assert_eq!(table.need(&sync, &declared), declared);
    for round in 0..10 {
        table.learn_usage(&sync, &small, &declared, at(round));
    }
    let corrected = table.need(&sync, &declared);
    assert_eq!((corrected.memory_mib, corrected.millicores, corrected.slots), (12, 115, 1));
}

#[test]
fn stragglers_are_found_by_their_run_time() {
    let mut table = estimate::Table::new(estimate::Settings::default());
    let kind = Name::from("render");
    let (declared, real) = (Duration::from_secs(1), Duration::from_secs(10));
    assert!(table.is_straggler(&kind, declared, Duration::from_secs(5)));
    for round in 0..20 {
        table.learn_run(&kind, real, declared, at(round));
    }
    assert_eq!(table.expected_run(&kind, declared), real);
    assert!(!table.is_straggler(&kind, declared, Duration::from_secs(39)));
    assert!(table.is_straggler(&kind, declared, Duration::from_secs(41)));
}
