//! Which targets are alive.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use shallotflow_policy::injected::{self, Fault};
use shallotflow_policy::member::{Announcement, Settings, Table};
use shallotflow_policy::route::Target;
use std::time::Duration;

fn announcement(worker: u8, incarnation: u64, sequence: u64) -> Announcement {
    Announcement {
        target: Target {
            worker: format!("worker-{worker}").into(),
            domain: "here".into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            kinds: vec!["preview".into()],
        },
        incarnation,
        sequence,
        boot: 1,
        capacity: Bundle { slots: 8, ..Bundle::default() },
        leaving: false,
    }
}

#[test]
fn a_silent_target_expires_at_its_deadline() {
    let mut table = Table::new(Settings { heartbeat: Duration::from_millis(100), silent_beats: 3 });
    table.apply_announcement(Time::ZERO, announcement(1, 1, 1)).expect("a first report");
    table.apply_announcement(Time::from_millis(50), announcement(2, 1, 1)).expect("a first report");
    assert!(table.expire(Time::from_millis(299)).is_empty());
    assert_eq!(table.expire(Time::from_millis(300)), ["worker-1".into()]);
    assert_eq!(table.len(), 1);
}

/// Checks that the newest of `reports` (worker, incarnation, sequence) stays in force.
fn check(reports: &[(u8, u64, u64)]) -> Result<(), TestCaseError> {
    let mut table = Table::new(Settings::default());
    let mut newest = [(0, 0); 4];
    for &(worker, incarnation, sequence) in reports {
        let given = (incarnation, sequence);
        let heard =
            table.apply_announcement(Time::ZERO, announcement(worker, incarnation, sequence));
        let known = &mut newest[usize::from(worker)];
        prop_assert_eq!(heard.is_ok(), given > *known);
        *known = given.max(*known);
        let member = table.get(&format!("worker-{worker}")).expect("a member");
        let kept = (member.announcement.incarnation, member.announcement.sequence);
        prop_assert_eq!(kept, *known);
    }
    Ok(())
}

#[test]
fn a_planted_return_of_an_older_incarnation_is_found() {
    let reports = [(0, 2, 1), (0, 1, 9)];
    check(&reports).expect("the newer incarnation stays");
    injected::with(Fault::OlderIncarnation, || check(&reports)).expect_err("the older one returns");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7), failure_persistence: None, cases: 128,
        ..ProptestConfig::default()
    })]

    /// Reports that are delayed, repeated and out of order leave the newest one in force.
    #[test]
    fn the_newest_report_stays_in_force(
        reports in prop::collection::vec((0_u8..4, 1_u64..4, 1_u64..20), 1..200),
    ) {
        check(&reports)?;
    }
}

#[test]
fn only_the_capacity_of_members_of_the_kind_counts() {
    let mut table = Table::new(Settings::default());
    table.apply_announcement(Time::ZERO, announcement(1, 1, 1)).expect("a first report");
    let need = |slots| Bundle { slots, ..Bundle::default() };
    assert!(table.could_hold("preview", &need(8)));
    assert!(!table.could_hold("preview", &need(9)));
    assert!(!table.could_hold("render", &need(1)));
}
