//! The owner reads and follows the requests to evacuate failure domains.

use super::store::{Call, Delivery, Shared, Watches};
use super::{DOMAIN, EVACUATION_PREFIX, HANG, PAUSE, Process, job, presence, run, until};
use shallotflow_core::graph::Id;
use shallotflow_core::name::Name;
use shallotflow_policy::plan::message::Kind;
use shallotflow_scheduler::entry::{Settings, Submission};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Number of reports after which an owner would have started a task.
const REPORTS: usize = 5;

fn key() -> String {
    format!("{EVACUATION_PREFIX}{DOMAIN}")
}

/// Starts an owner to which the agent has reported.
async fn owner(shared: &Rc<Shared>) -> Process {
    let owner = Process::start("a", 1, shared);
    until(|| owner.owns()).await;
    while owner.report(false).await.epoch == 0 {}
    owner
}

/// Reports until a reply has the state `evacuated`; returns whether any of them orders a start.
async fn told(owner: &Process, evacuated: bool) -> bool {
    loop {
        let reply = owner.report(false).await;
        if reply.orders.iter().any(|order| matches!(order.kind, Kind::Start { .. })) {
            return true;
        }
        if reply.evacuated == evacuated {
            return false;
        }
    }
}

/// Checks that the owner starts nothing although a job waits, and that it does after the withdrawal.
async fn check_waits(owner: &Process, id: u64, withdraw: impl FnOnce()) {
    assert_eq!(owner.entry.submit(Id(id), job()).await, Submission::Accepted);
    for _ in 0..REPORTS {
        assert!(!owner.orders_a_start().await, "the domain is evacuated");
    }
    withdraw();
    while !owner.orders_a_start().await {}
}

/// Guards against an owner that starts tasks before it has read the requests.
#[test]
fn a_request_that_was_made_before_the_owner_loads_its_table_is_in_effect_from_the_first_reply() {
    run(async |shared| {
        shared.put(&key(), "{}", 0);
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        assert_eq!(owner.entry.submit(Id(1), job()).await, Submission::Accepted);
        loop {
            let reply = owner.report(false).await;
            assert!(reply.orders.is_empty());
            if reply.evacuated {
                break;
            }
        }
        check_waits(&owner, 2, || shared.delete(&key())).await;
    });
}

/// Guards against an owner that does not see later requests and withdrawals.
#[test]
fn a_request_and_its_withdrawal_are_seen_by_watch() {
    run(async |shared| {
        let owner = owner(&shared).await;
        shared.put(&key(), "{}", 0);
        assert!(!told(&owner, true).await);
        check_waits(&owner, 1, || shared.delete(&key())).await;
        shared.put(&key(), "{}", 0);
        while !owner.report(false).await.evacuated {}
    });
}

/// Guards against a reply that waits for orders while its agent may still execute one.
#[test]
fn a_waiting_reply_is_sent_at_once_when_the_domain_is_evacuated() {
    run(async |shared| {
        let settings = Settings { reply_wait: HANG, ..Process::settings() };
        let owner = Rc::new(Process::start_with(settings, "a", 1, &shared));
        until(|| owner.owns()).await;
        while owner.epoch() == 0 {
            monoio::time::sleep(PAUSE).await;
        }
        let replied = Rc::new(Cell::new(false));
        let (seen, reporter) = (replied.clone(), owner.clone());
        monoio::spawn(async move { seen.set(reporter.report(false).await.evacuated) });
        until(|| owner.entry.dump()["workers"].as_object().is_some_and(|w| !w.is_empty())).await;
        assert!(!replied.get());
        shared.put(&key(), "{}", 0);
        until(|| replied.get()).await;
    });
}

/// Guards against requests and withdrawals that are lost with the store's history.
#[test]
fn requests_and_withdrawals_in_a_discarded_history_are_read() {
    run(async |shared| {
        let owner = owner(&shared).await;
        shared.put(&key(), "{}", 0);
        shared.compact();
        assert!(!told(&owner, true).await);
        check_waits(&owner, 1, || {
            shared.delete(&key());
            shared.compact();
        })
        .await;
    });
}

/// Guards against a watch that fails, or that is silent for longer than a request may take.
#[test]
fn requests_are_read_again_while_watches_fail_or_are_silent() {
    run(async |shared| {
        let interval = Duration::from_millis(20);
        let settings = Settings { evacuation_interval: interval, ..Process::settings() };
        let owner = Process::start_with(settings, "a", 1, &shared);
        until(|| owner.owns()).await;
        shared.set_watches(Watches::Fail);
        shared.put(&key(), "{}", 0);
        while !owner.report(false).await.evacuated {}
        shared.set_watches(Watches::Silent);
        shared.delete(&key());
        while owner.report(false).await.evacuated {}
        shared.set_watches(Watches::Serve);
    });
}

/// Guards against a new owner that starts tasks although it could not read the requests.
#[test]
fn an_entry_that_cannot_read_the_requests_does_not_take_the_table_over() {
    run(async |shared| {
        shared.put(&key(), "{}", 0);
        let reads = Rc::new(Cell::new(0));
        let counted = reads.clone();
        shared.intercept(move |_, call| match call {
            Call::Range(EVACUATION_PREFIX) => {
                counted.set(counted.get() + 1);
                Delivery::Silent
            }
            _ => Delivery::Serve,
        });
        let owner = Process::start("a", 1, &shared);
        while reads.get() < 3 {
            assert!(!owner.owns());
            monoio::time::sleep(PAUSE).await;
        }
        shared.serve_all();
        until(|| owner.owns()).await;
        assert!(!told(&owner, true).await);
    });
}

/// Guards against a request that is lost with its owner, as when power fails after the confirmation.
#[test]
fn a_successor_knows_the_request() {
    run(async |shared| {
        let owner = owner(&shared).await;
        let successor = Process::start("b", 2, &shared);
        until(|| shared.text(&presence("b")).is_some()).await;
        shared.put(&key(), "{}", 0);
        owner.entry.leave().await;
        until(|| successor.owns()).await;
        assert_eq!(successor.entry.submit(Id(1), job()).await, Submission::Accepted);
        assert!(!told(&successor, true).await);
        check_waits(&successor, 2, || shared.delete(&key())).await;
    });
}

/// Guards against an owner that is cut off from the store and starts tasks after a request that only its
/// successor can know.
#[test]
fn an_owner_that_is_cut_off_starts_nothing_after_a_request_that_its_successor_reads() {
    run(async |shared| {
        let former = owner(&shared).await;
        let successor = Process::start("b", 2, &shared);
        until(|| shared.text(&presence("b")).is_some()).await;
        assert_eq!(former.entry.submit(Id(1), job()).await, Submission::Accepted);
        shared
            .intercept(|caller, _| if caller == "a" { Delivery::Silent } else { Delivery::Serve });
        shared.expire_leases();
        until(|| successor.owns()).await;
        shared.put(&key(), "{}", 0);
        for _ in 0..REPORTS {
            assert!(!former.orders_a_start().await, "a successor may know of a request");
        }
        assert!(!told(&successor, true).await);
    });
}

/// Guards against a withdrawal that is assumed while the store answers nobody.
#[test]
fn a_domain_stays_evacuated_through_an_outage_until_the_store_answers() {
    run(async |shared| {
        shared.put(&key(), "{}", 0);
        let owner = owner(&shared).await;
        while !owner.report(false).await.evacuated {}
        assert_eq!(owner.entry.submit(Id(1), job()).await, Submission::Accepted);
        shared.set_watches(Watches::Fail);
        shared.intercept(|_, call| match call {
            Call::Range(EVACUATION_PREFIX) => Delivery::Silent,
            _ => Delivery::Serve,
        });
        shared.delete(&key());
        for _ in 0..REPORTS {
            let reply = owner.report(false).await;
            assert!(reply.evacuated && reply.orders.is_empty());
        }
        shared.serve_all();
        shared.set_watches(Watches::Serve);
        while !owner.orders_a_start().await {}
    });
}

/// Guards against invalid values that end a request, and against fields that void one.
#[test]
fn invalid_values_change_nothing_and_unknown_fields_do_not_void_a_request() {
    run(async |shared| {
        let owner = owner(&shared).await;
        shared.put(&key(), r#"{"until": 7}"#, 0);
        assert!(!told(&owner, true).await);
        shared.put(&key(), "soon", 0);
        shared.put(EVACUATION_PREFIX, "{}", 0);
        shared.put(&format!("{EVACUATION_PREFIX}west"), "[]", 0);
        check_waits(&owner, 1, || shared.delete(&key())).await;
        let evacuated = owner.entry.dump()["evacuated"].clone();
        assert_eq!(evacuated, serde_json::json!([]));
    });
}

/// Guards against one source of evacuations that ends those of the other.
#[test]
fn domains_of_the_configuration_are_evacuated_beside_those_of_operators() {
    run(async |shared| {
        let owner = owner(&shared).await;
        let domains = BTreeSet::from([Name::from(DOMAIN)]);
        owner.entry.set_evacuated_by_configuration(domains);
        assert!(!told(&owner, true).await);
        shared.put(&key(), "{}", 0);
        until(|| owner.entry.dump()["evacuated"][0]["revision"] != 0).await;
        let shown = owner.entry.dump()["evacuated"][0].clone();
        assert_eq!((&shown["domain"], &shown["workers"]), (&DOMAIN.into(), &1.into()));
        owner.entry.set_evacuated_by_configuration(BTreeSet::new());
        check_waits(&owner, 1, || shared.delete(&key())).await;
    });
}

/// Guards against reads of a prefix that does not exist in the deployment.
#[test]
fn nothing_is_read_without_a_prefix() {
    run(async |shared| {
        shared.put(&key(), "{}", 0);
        let settings = Settings { evacuation_prefix: None, ..Process::settings() };
        let owner = Process::start_with(settings, "a", 1, &shared);
        until(|| owner.owns()).await;
        assert_eq!(owner.entry.submit(Id(1), job()).await, Submission::Accepted);
        while !owner.orders_a_start().await {}
        assert!(!owner.report(false).await.evacuated);
    });
}

/// Guards against an evacuation that ends since the row of its request cannot be read.
#[test]
fn a_request_whose_row_cannot_be_read_is_not_withdrawn() {
    run(async |shared| {
        shared.put(&key(), "{}", 0);
        let owner = owner(&shared).await;
        assert!(!told(&owner, true).await);
        shared.hide(&key());
        shared.set_watches(Watches::Fail);
        // Each failure of the watch has the requests read again.
        monoio::time::sleep(10 * Settings::default().store_pause).await;
        check_waits(&owner, 1, || shared.delete(&key())).await;
    });
}
