//! Membership: expiry of targets and order of reports.

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
fn a_target_without_reports_expires_at_its_deadline() {
    let mut table = Table::new(Settings { heartbeat: Duration::from_millis(100), silent_beats: 3 });
    table.apply_announcement(Time::ZERO, announcement(1, 1, 1)).expect("a first report");
    table.apply_announcement(Time::from_millis(50), announcement(2, 1, 1)).expect("a first report");
    assert!(table.expire(Time::from_millis(299)).is_empty());
    assert_eq!(table.expire(Time::from_millis(300)), ["worker-1".into()]);
    assert_eq!(table.len(), 1);
}

/// Checks that only newer `reports` (worker, incarnation, sequence) are applied and that the newest
/// one is kept.
fn check_newest_kept(reports: &[(u8, u64, u64)]) -> Result<(), TestCaseError> {
    let mut table = Table::new(Settings::default());
    let mut newest = [(0, 0); 4];
    for &(worker, incarnation, sequence) in reports {
        let received = (incarnation, sequence);
        let result =
            table.apply_announcement(Time::ZERO, announcement(worker, incarnation, sequence));
        let newest_of_worker = &mut newest[usize::from(worker)];
        prop_assert_eq!(result.is_ok(), received > *newest_of_worker);
        *newest_of_worker = received.max(*newest_of_worker);
        let member = table.get(&format!("worker-{worker}")).expect("a member");
        let stored = (member.announcement.incarnation, member.announcement.sequence);
        prop_assert_eq!(stored, *newest_of_worker);
    }
    Ok(())
}

#[test]
fn the_check_detects_an_injected_older_incarnation() {
    let reports = [(0, 2, 1), (0, 1, 9)];
    check_newest_kept(&reports).expect("the newer incarnation is kept");
    injected::with(Fault::OlderIncarnation, || check_newest_kept(&reports))
        .expect_err("the older incarnation replaces it");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7), failure_persistence: None, cases: 128,
        ..ProptestConfig::default()
    })]

    /// Delayed, duplicate and reordered reports leave the newest one in the table.
    #[test]
    fn delayed_reports_never_replace_a_newer_one(
        reports in prop::collection::vec((0_u8..4, 1_u64..4, 1_u64..20), 1..200),
    ) {
        check_newest_kept(&reports)?;
    }
}

#[test]
fn could_hold_considers_only_members_that_serve_the_kind() {
    let mut table = Table::new(Settings::default());
    table.apply_announcement(Time::ZERO, announcement(1, 1, 1)).expect("a first report");
    let need = |slots| Bundle { slots, ..Bundle::default() };
    assert!(table.could_hold("preview", &need(8)));
    assert!(!table.could_hold("preview", &need(9)));
    assert!(!table.could_hold("render", &need(1)));
}
