//! Setting targets aside: when, for how long, and never too many.

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

fn sample(failed: bool, slowness: u32) -> Sample {
    let expected = Duration::from_millis(2);
    Sample { failed, latency: expected * slowness, expected }
}

fn fail(table: &mut Table, id: Id, times: u32) {
    for _ in 0..times {
        table.record(id, &sample(true, 1));
    }
}

#[test]
fn failures_in_a_row_set_a_target_aside_for_growing_times() {
    let (mut routes, ids) = routes(10);
    let mut table = Table::new(Settings::default());
    let mut now = Time::from_millis(1_000);
    let mut times = Vec::new();
    for _ in 0..9 {
        fail(&mut table, ids[0], 5);
        let changes = table.tick(now, &mut routes);
        let [Change::Ejected(id, Cause::Consecutive, until)] = changes[..] else {
            panic!("{changes:?} instead of one target set aside");
        };
        assert_eq!(id, ids[0]);
        assert!(!routes.is_eligible(id));
        times.push(until.since(now).as_secs());
        now = until;
        assert_eq!(table.tick(now, &mut routes), [Change::OnProbation(id)]);
    }
    assert_eq!(times, [2, 4, 8, 16, 32, 64, 120, 120, 120]);
}

#[test]
fn a_target_on_probation_gets_one_request_at_a_time_until_it_has_proved_itself() {
    let (mut routes, ids) = routes(3);
    let mut table = Table::new(Settings::default());
    fail(&mut table, ids[0], 5);
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
fn a_target_far_slower_than_its_kind_is_set_aside() {
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
fn a_suspect_that_recovers_before_there_is_room_stays() {
    let (mut routes, ids) = routes(3);
    let mut table = Table::new(Settings::default());
    fail(&mut table, ids[0], 5);
    fail(&mut table, ids[1], 5);
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

    /// Any mix of results, ticks and targets that go and come keeps the share, and the tables
    /// agree on who is set aside.
    #[test]
    fn at_most_the_share_is_set_aside_whatever_fails(
        members in 1_u8..30,
        steps in prop::collection::vec((any::<u8>(), 0_u8..10, 1_u32..30), 1..400),
    ) {
        let (mut routes, mut ids) = routes(members);
        let mut table = Table::new(Settings::default());
        let mut now = Time::ZERO;
        for (pick, action, amount) in steps {
            let place = usize::from(pick) % ids.len();
            match action {
                0..=5 => fail(&mut table, ids[place], amount),
                6..=7 => {
                    table.record(ids[place], &sample(false, amount));
                }
                8 => now = now.after(Duration::from_millis(u64::from(amount) * 100)),
                _ => {
                    let target = routes.target(ids[place]).expect("a target").clone();
                    routes.remove(ids[place]);
                    ids[place] = routes.announce(target);
                }
            }
            table.tick(now, &mut routes);
            let members = ids.len();
            let most = (members * 300 / 1_000).max(usize::from(members >= 3));
            let out = ids.iter().filter(|id| routes.is_ejected(**id)).count();
            prop_assert!(out <= most, "{out} of {members} set aside");
            prop_assert_eq!(out, routes.ejected());
        }
        // Once nothing fails any more, every target comes back, also one whose earlier failures
        // set it aside only when there is room.
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
