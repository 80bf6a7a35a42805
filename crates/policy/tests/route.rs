//! Choice of a target: comparison with a simple model, load estimates and ejection.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use shallotflow_core::class::Class;
use shallotflow_core::time::Time;
use shallotflow_policy::route::{Id, Load, Query, Settings, Table, Target};
use std::collections::BTreeMap;

const KINDS: [&str; 3] = ["preview", "pattern", "render"];
const NOW: Time = Time::from_millis(1_000);

/// Model of a target.
#[derive(Clone, Debug, Default)]
struct Model {
    kinds: Vec<usize>,
    leaving: bool,
    ejected: bool,
}

#[derive(Clone, Debug)]
enum Step {
    Announce(u8, Vec<usize>),
    Remove(u8),
    Leave(u8, bool),
    Eject(u8, bool),
    Choose(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let worker = 0_u8..12;
    prop_oneof![
        (worker.clone(), prop::collection::vec(0..KINDS.len(), 0..4))
            .prop_map(|(worker, kinds)| Step::Announce(worker, kinds)),
        worker.clone().prop_map(Step::Remove),
        (worker.clone(), any::<bool>()).prop_map(|(worker, leaving)| Step::Leave(worker, leaving)),
        (worker, any::<bool>()).prop_map(|(worker, ejected)| Step::Eject(worker, ejected)),
        (0..KINDS.len()).prop_map(Step::Choose),
    ]
}

fn target(worker: u8, kinds: &[usize]) -> Target {
    Target {
        worker: format!("worker-{worker}").into(),
        domain: if worker.is_multiple_of(2) { "near".into() } else { "far".into() },
        address: format!("127.0.0.1:{}", 1_000 + u16::from(worker)).parse().expect("an address"),
        kinds: kinds.iter().map(|&kind| KINDS[kind].into()).collect(),
    }
}

fn query(kind: &str) -> Query<'_> {
    Query { kind, class: Class::Quick, tried: &[] }
}

/// Returns the workers that can be chosen, found by repeated choices that exclude those found
/// before.
fn choosable(table: &Table, kind: &str, rng: &mut SmallRng) -> Vec<String> {
    let mut tried: Vec<Id> = Vec::new();
    let mut workers = Vec::new();
    while let Some(choice) =
        table.choose(NOW, &Query { kind, class: Class::Quick, tried: &tried }, rng)
    {
        assert!(!tried.contains(&choice.id), "a target was chosen twice");
        tried.push(choice.id);
        workers.push(table.target(choice.id).expect("a target").worker.to_string());
    }
    workers.sort();
    workers
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7), failure_persistence: None, cases: 256,
        ..ProptestConfig::default()
    })]

    #[test]
    fn chooses_exactly_the_eligible_targets_of_the_model(
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut table = Table::new(Settings::default(), "near".into());
        let mut models: BTreeMap<u8, Model> = BTreeMap::new();
        let mut rng = SmallRng::seed_from_u64(7);
        for step in steps {
            match step {
                Step::Announce(worker, kinds) => {
                    table.announce(target(worker, &kinds));
                    models.entry(worker).or_default().kinds = kinds;
                }
                Step::Remove(worker) => {
                    if let Some(id) = table.find(&format!("worker-{worker}")) {
                        table.remove(id);
                        prop_assert!(table.target(id).is_none());
                    }
                    models.remove(&worker);
                }
                Step::Leave(worker, leaving) => {
                    if let Some(id) = table.find(&format!("worker-{worker}")) {
                        table.set_leaving(id, leaving);
                    }
                    models.entry(worker).and_modify(|model| model.leaving = leaving);
                }
                Step::Eject(worker, ejected) => {
                    if let Some(id) = table.find(&format!("worker-{worker}")) {
                        table.set_ejected(id, ejected);
                    }
                    models.entry(worker).and_modify(|model| model.ejected = ejected);
                }
                Step::Choose(kind) => {
                    let serves = |model: &&Model| model.kinds.contains(&kind);
                    let members = models.values().filter(serves).count();
                    prop_assert_eq!(table.members(KINDS[kind]), members);
                    let is_eligible = |model: &Model| !model.leaving && !model.ejected;
                    let mut expected: Vec<String> = models
                        .iter()
                        .filter(|(_, model)| serves(model) && is_eligible(model))
                        .map(|(worker, _)| format!("worker-{worker}"))
                        .collect();
                    expected.sort();
                    prop_assert_eq!(choosable(&table, KINDS[kind], &mut rng), expected);
                }
            }
        }
    }

    #[test]
    fn never_ejects_more_than_the_share(
        members in 0_u8..40,
        share_milli in 0_u32..1_000,
        picks in prop::collection::vec(any::<u8>(), 0..80),
    ) {
        let mut table = Table::new(Settings::default(), "near".into());
        let ids: Vec<Id> = (0..members).map(|w| table.announce(target(w, &[0]))).collect();
        for pick in picks {
            if ids.is_empty() { break; }
            let id = ids[usize::from(pick) % ids.len()];
            if table.may_eject(id, share_milli) {
                table.set_ejected(id, true);
            }
        }
        let most = usize::from(members) * share_milli as usize / 1_000;
        let least = usize::from(members >= 3);
        prop_assert!(table.ejected() <= most.max(least));
    }

    #[test]
    fn prefers_the_idle_target_to_a_random_one(seed in any::<u64>()) {
        // One of sixteen targets is idle, the others have a queue: drawing pairs finds the idle one
        // more often than a uniformly random choice does.
        let mut table = Table::new(Settings::default(), "near".into());
        let ids: Vec<Id> = (0..16).map(|w| table.announce(target(w * 2, &[0]))).collect();
        for (number, id) in ids.iter().enumerate() {
            let queued = if number == 3 { 0 } else { 40 };
            let load = Load { queued, slots: 8, service_us: 1_000, ..Load::default() };
            table.observe(NOW, *id, load);
        }
        let mut rng = SmallRng::seed_from_u64(seed);
        let found = (0..400)
            .filter(|_| table.choose(NOW, &query("preview"), &mut rng).is_some_and(|c| c.id == ids[3]))
            .count();
        prop_assert!(found > 60, "found {found} times of 400; a random choice finds it 25 times");
    }
}

#[test]
fn requests_in_flight_count_since_the_last_report() {
    let mut table = Table::new(Settings::default(), "near".into());
    let ids = [table.announce(target(0, &[0])), table.announce(target(2, &[0]))];
    let load = Load { slots: 4, service_us: 1_000, disturbance_milli: 1_000, ..Load::default() };
    for id in ids {
        table.observe(NOW, id, load);
    }
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..40 {
        let choice = table.choose(NOW, &query("preview"), &mut rng).expect("a target");
        table.begin_request(NOW, choice.id, Class::Quick);
    }
    assert_eq!(ids.map(|id| table.outstanding(id)), [20, 20]);
}

#[test]
fn the_queue_of_other_entries_drains_until_the_next_report() {
    let mut table = Table::new(Settings::default(), "near".into());
    let id = table.announce(target(0, &[0]));
    let load = Load { running: 4, queued: 40, slots: 4, service_us: 1_000, ..Load::default() };
    table.observe(NOW, id, load);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut wait = |at_ms| {
        let choice = table.choose(Time::from_millis(at_ms), &query("preview"), &mut rng);
        choice.expect("a target").wait.as_micros()
    };
    assert_eq!(wait(1_000), 10_250);
    assert_eq!(wait(1_005), 5_250);
    assert_eq!(wait(1_100), 250);
}

#[test]
fn a_response_of_a_removed_target_is_ignored() {
    let mut table = Table::new(Settings::default(), "near".into());
    let old = table.announce(target(0, &[0]));
    table.begin_request(NOW, old, Class::Quick);
    table.remove(old);
    let new = table.announce(target(2, &[0]));
    table.end_request(old, Class::Quick);
    table.observe(NOW, old, Load { running: 9, ..Load::default() });
    assert_eq!((table.outstanding(new), table.load(new)), (0, Some(Load::default())));
}

#[test]
fn a_silent_target_is_avoided_until_its_next_report() {
    let mut table = Table::new(Settings::default(), "near".into());
    let ids = [table.announce(target(0, &[0])), table.announce(target(2, &[0]))];
    let load = Load { slots: 8, service_us: 1_000, ..Load::default() };
    for id in ids {
        table.observe(NOW, id, load);
    }
    table.begin_request(NOW, ids[0], Class::Quick);
    // The other target is busier but has reported since.
    let later = Time::from_millis(1_100);
    (0..6).for_each(|_| table.begin_request(later, ids[1], Class::Quick));
    table.observe(later, ids[1], load);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut choose =
        |table: &Table| table.choose(later, &query("preview"), &mut rng).expect("a target").id;
    assert_eq!(choose(&table), ids[1]);
    table.observe(later, ids[0], load);
    assert_eq!(choose(&table), ids[0]);
}
