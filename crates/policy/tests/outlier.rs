//! Outlier ejection: causes, durations, probation and the limit on ejected targets.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use shallotflow_core::class::Class;
use shallotflow_core::time::Time;
use shallotflow_policy::outlier::{Cause, Change, Sample, Settings, Table};
use shallotflow_policy::route::{self, Id, Query, Target};
use std::time::Duration;

fn routes(members: u8) -> (route::Table, Vec<Id>) {
    let mut routes = route::Table::new(route::Settings::default(), "here".into());
    let ids = (0..members).map(|worker| {
        routes.announce(Target {
            worker: format!("worker-{worker}").into(),
            domain: "here".into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            kinds: vec!["preview".into()],
        })
    });
    let ids = ids.collect();
    (routes, ids)
}

fn sample(failed: bool, slowdown: u32) -> Sample {
    let expected = Duration::from_millis(2);
    Sample { failed, latency: expected * slowdown, expected }
}

fn record_failures(table: &mut Table, id: Id, count: u32) {
    for _ in 0..count {
        table.record(id, &sample(true, 1));
    }
}

#[test]
fn consecutive_failures_eject_a_target_for_growing_times() {
    let (mut routes, ids) = routes(10);
    let mut table = Table::new(Settings::default());
    let mut now = Time::from_millis(1_000);
    let mut ejection_times = Vec::new();
    for _ in 0..9 {
        record_failures(&mut table, ids[0], 5);
        let changes = table.tick(now, &mut routes);
        let [Change::Ejected(id, Cause::Consecutive, until)] = changes[..] else {
            panic!("{changes:?} instead of one ejected target");
        };
        assert_eq!(id, ids[0]);
        assert!(!routes.is_eligible(id));
        ejection_times.push(until.since(now).as_secs());
        now = until;
        assert_eq!(table.tick(now, &mut routes), [Change::OnProbation(id)]);
    }
    assert_eq!(ejection_times, [2, 4, 8, 16, 32, 64, 120, 120, 120]);
}

#[test]
fn a_target_on_probation_gets_one_request_at_a_time() {
    let (mut routes, ids) = routes(3);
    let mut table = Table::new(Settings::default());
    record_failures(&mut table, ids[0], 5);
    table.tick(Time::ZERO, &mut routes);
    table.tick(Time::from_millis(2_000), &mut routes);
    assert!(routes.is_eligible(ids[0]) && routes.is_probing(ids[0]));
    routes.begin_request(Time::ZERO, ids[0], Class::Quick);
    let mut rng = SmallRng::seed_from_u64(1);
    let query = Query { kind: "preview", class: Class::Quick, tried: &[] };
    for _ in 0..100 {
        let choice = routes.choose(Time::ZERO, &query, &mut rng).expect("a target");
        assert_ne!(choice.id, ids[0]);
    }
    for _ in 0..3 {
        table.record(ids[0], &sample(false, 1));
    }
    let changes = table.tick(Time::from_millis(2_100), &mut routes);
    assert_eq!(changes, [Change::Restored(ids[0])]);
    assert!(!routes.is_probing(ids[0]));
}

#[test]
fn a_target_far_slower_than_expected_is_ejected() {
    let (mut routes, ids) = routes(5);
    let mut table = Table::new(Settings::default());
    for _ in 0..40 {
        table.record(ids[1], &sample(false, 20));
        table.record(ids[2], &sample(false, 2));
    }
    let changes = table.tick(Time::ZERO, &mut routes);
    assert!(matches!(changes[..], [Change::Ejected(id, Cause::Slow, _)] if id == ids[1]));
}

#[test]
fn a_suspect_that_recovers_before_its_ejection_stays_eligible() {
    let (mut routes, ids) = routes(3);
    let mut table = Table::new(Settings::default());
    record_failures(&mut table, ids[0], 5);
    record_failures(&mut table, ids[1], 5);
    assert_eq!(table.tick(Time::ZERO, &mut routes).len(), 1);
    table.record(ids[1], &sample(false, 1));
    table.tick(Time::from_millis(1), &mut routes);
    assert!(routes.is_eligible(ids[1]));
    let changes = table.tick(Time::from_millis(2_500), &mut routes);
    assert_eq!(changes, [Change::OnProbation(ids[0])]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7), failure_persistence: None, cases: 128,
        ..ProptestConfig::default()
    })]

    /// Any mix of results, ticks and removed and added targets keeps the ejected targets within
    /// the share, and the tables agree on which targets are ejected.
    #[test]
    fn ejections_never_exceed_the_share(
        members in 1_u8..30,
        steps in prop::collection::vec((any::<u8>(), 0_u8..10, 1_u32..30), 1..400),
    ) {
        let (mut routes, mut ids) = routes(members);
        let mut table = Table::new(Settings::default());
        let mut now = Time::ZERO;
        for (pick, action, amount) in steps {
            let index = usize::from(pick) % ids.len();
            match action {
                0..=5 => record_failures(&mut table, ids[index], amount),
                6..=7 => {
                    table.record(ids[index], &sample(false, amount));
                }
                8 => now = now.after(Duration::from_millis(u64::from(amount) * 100)),
                _ => {
                    let target = routes.target(ids[index]).expect("a target").clone();
                    routes.remove(ids[index]);
                    ids[index] = routes.announce(target);
                }
            }
            table.tick(now, &mut routes);
            let members = ids.len();
            let most = (members * 300 / 1_000).max(usize::from(members >= 3));
            let ejected = ids.iter().filter(|id| routes.is_ejected(**id)).count();
            prop_assert!(ejected <= most, "{ejected} of {members} ejected");
            prop_assert_eq!(ejected, routes.ejected());
        }
        // Once nothing fails any more, every target becomes eligible again, including one whose
        // earlier failures eject it only when the share allows it.
        for _ in 0..20 {
            now = now.after(Duration::from_secs(200));
            table.tick(now, &mut routes);
            for id in &ids {
                for _ in 0..3 {
                    table.record(*id, &sample(false, 1));
                }
            }
            table.tick(now, &mut routes);
        }
        prop_assert_eq!(routes.ejected(), 0);
    }
}
