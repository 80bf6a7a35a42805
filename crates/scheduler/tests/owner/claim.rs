//! Claims that are decided on one state of the table and carried out in another.

use super::store::{Call, Delivery, Handle, Shared, Watches};
use super::{Process, job, presence, run, until, writes};
use shallotflow_core::graph::Id;
use shallotflow_scheduler::entry::{Submission, keys};
use shallotflow_scheduler::peers::pack;
use shallotflow_store::store::Store;
use shallotflow_store::transaction::Transaction;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

/// Longer than an entry takes for a claim whose read of the owner's record is answered.
const CLAIM: Duration = Duration::from_millis(100);

/// Announces the entry `name` as `process`; nothing answers at its address.
fn announce(name: &str, process: u64, shared: &Shared) {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let value = serde_json::json!({ "process": process, "address": address, "strength": 1 });
    shared.put(&presence(name), &value.to_string(), 0);
}

/// Records the claim of `epoch` by the entry `name`.
fn record_claim(epoch: u64, name: &str, process: u64, shared: &Shared) {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let owner = serde_json::json!({
        "epoch": epoch, "entry": name, "process": process, "address": address
    });
    shared.put(keys::OWNER, &owner.to_string(), 0);
}

/// Starts the entry `b` beside the present owner `a`.
async fn start_beside_owner(shared: &Rc<Shared>) -> Process {
    announce("a", 1, shared);
    record_claim(1, "a", 1, shared);
    let claimant = Process::start("b", 9, shared);
    until(|| shared.text(&presence("b")).is_some()).await;
    until(|| claimant.epoch() == 1).await;
    claimant
}

/// Ends the presence of the owner `a`, and waits until another entry has found it absent and reads its record.
async fn hold_the_read_of_a_claim(shared: &Shared) {
    shared.intercept(|_, call| match call {
        Call::Read(keys::OWNER) => Delivery::Held,
        _ => Delivery::Serve,
    });
    shared.delete(&presence("a"));
    until(|| shared.held_count() > 0).await;
}

fn holder(shared: &Shared) -> String {
    shared.text(keys::OWNER).expect("an owner")
}

/// Guards against a second owner beside one that is present: in a slow store, the read of a claimant
/// shows the claim of another entry, which the claimant's watch has shown meanwhile.
#[test]
fn an_entry_does_not_claim_the_table_of_an_owner_that_claimed_it_meanwhile() {
    run(async |shared| {
        let claimant = start_beside_owner(&shared).await;
        hold_the_read_of_a_claim(&shared).await;
        announce("c", 2, &shared);
        record_claim(2, "c", 2, &shared);
        until(|| claimant.epoch() == 2).await;
        shared.serve_all();
        shared.release_held();
        monoio::time::sleep(CLAIM).await;
        assert!(holder(&shared).contains("\"entry\":\"c\""), "{}", holder(&shared));
        assert!(!claimant.owns());
        shared.delete(&presence("c"));
        until(|| claimant.owns()).await;
        assert_eq!(claimant.epoch(), 3);
    });
}

/// Guards against a claim over a record that another entry has claimed while the first claimant asked the others
/// whether one of them owns the table.
#[test]
fn an_entry_that_knows_no_owner_does_not_claim_the_table_of_one_that_claimed_it_meanwhile() {
    run(async |shared| {
        shared.put(keys::OWNER, "{}", 0);
        shared.intercept(|_, call| match call {
            Call::Read(keys::OWNER) => Delivery::Held,
            _ => Delivery::Serve,
        });
        let claimant = Process::start("b", 9, &shared);
        until(|| shared.held_count() > 0).await;
        announce("c", 2, &shared);
        record_claim(1, "c", 2, &shared);
        until(|| claimant.epoch() == 1).await;
        shared.serve_all();
        shared.release_held();
        monoio::time::sleep(CLAIM).await;
        assert!(holder(&shared).contains("\"entry\":\"c\""), "{}", holder(&shared));
        assert!(!claimant.owns());
    });
}

/// Guards against a second owner beside one that has renewed its presence while a claimant read its record.
#[test]
fn an_entry_does_not_claim_the_table_of_an_owner_that_is_present_again() {
    run(async |shared| {
        let claimant = start_beside_owner(&shared).await;
        hold_the_read_of_a_claim(&shared).await;
        announce("a", 1, &shared);
        let known = || claimant.entry.dump()["entries"].as_array().map_or(0, Vec::len);
        until(|| known() == 2).await;
        shared.serve_all();
        shared.release_held();
        monoio::time::sleep(CLAIM).await;
        assert!(holder(&shared).contains("\"entry\":\"a\""), "{}", holder(&shared));
        assert!(!claimant.owns());
        shared.delete(&presence("a"));
        until(|| claimant.owns()).await;
    });
}

/// Guards against a second owner beside one whose claim takes long to be answered: it answered until then that it
/// did not own the table.
#[test]
fn an_entry_whose_claim_is_on_its_way_is_not_replaced_while_it_is_present() {
    run(async |shared| {
        shared.intercept(|_, call| match call {
            Call::Commit(transaction) if writes(transaction, keys::OWNER) => Delivery::Held,
            _ => Delivery::Serve,
        });
        let claimant = Process::start("a", 1, &shared);
        until(|| shared.held_count() > 0).await;
        assert!(
            claimant.says_that_it_owns().await,
            "another entry may claim the table beside this one"
        );
        shared.serve_all();
        shared.release_held();
        until(|| claimant.owns()).await;
    });
}

/// Guards against a second owner beside one that has lost its presence and its table while it loaded the table: it
/// wrote its presence again whoever owned the table by then, and went on until its watch showed the later claim.
#[test]
fn an_entry_that_loads_the_table_renews_its_presence_only_if_nobody_has_claimed_the_table() {
    run(async |shared| {
        shared.intercept(|_, call| match call {
            Call::Range(keys::REQUESTS) => Delivery::Held,
            _ => Delivery::Serve,
        });
        let loading = Process::start("a", 1, &shared);
        until(|| shared.held_count() > 0).await;
        shared.set_watches(Watches::Silent);
        shared.expire_leases();
        announce("c", 2, &shared);
        record_claim(2, "c", 2, &shared);
        monoio::time::sleep(CLAIM).await;
        assert_eq!(
            shared.text(&presence("a")),
            None,
            "the presence was written beside a later claim"
        );
        shared.serve_all();
        shared.release_held();
        monoio::time::sleep(CLAIM).await;
        assert!(!loading.owns(), "{}", holder(&shared));
    });
}

/// Guards against a presence that ends although its lease is renewed: a write whose answer was lost is carried out
/// after the next one, and its lease is that of nobody.
#[test]
fn a_delayed_write_of_the_presence_does_not_replace_a_later_one() {
    run(async |shared| {
        shared.intercept(|_, call| match call {
            Call::Commit(transaction) if writes(transaction, &presence("a")) => Delivery::Delayed,
            _ => Delivery::Serve,
        });
        let entry = Process::start("a", 1, &shared);
        until(|| shared.delayed_count() > 0).await;
        shared.serve_all();
        until(|| entry.owns()).await;
        assert_eq!(shared.apply_delayed(), 0);
    });
}

/// Guards against a job that two owners start: the watch of a replaced owner shows it a job that was
/// stored after its successor's claim, before its other watch shows that claim.
#[test]
fn an_owner_starts_no_job_that_was_stored_under_a_later_claim() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        while owner.report(false).await.epoch == 0 {}
        let beside = Process::start("b", 9, &shared);
        until(|| beside.epoch() == 1).await;
        shared.mute("a", keys::MEMBERSHIP);
        announce("c", 2, &shared);
        record_claim(2, "c", 2, &shared);
        until(|| beside.epoch() == 2).await;
        assert_eq!(beside.entry.submit(Id(1), job()).await, Submission::Accepted);
        for _ in 0..3 {
            assert!(!owner.orders_a_start().await, "the successor starts the job too");
        }
        assert!(!owner.owns());
    });
}

/// Guards against the same where the entry that stores the job does not know of the successor either: it would
/// notify the former owner.
#[test]
fn a_job_is_stored_under_the_claim_in_force_although_its_entry_knows_a_former_one() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        while owner.report(false).await.epoch == 0 {}
        shared.mute("a", keys::MEMBERSHIP);
        announce("c", 2, &shared);
        record_claim(2, "c", 2, &shared);
        assert_eq!(owner.epoch(), 1);
        assert_eq!(owner.entry.submit(Id(1), job()).await, Submission::Accepted);
        assert!(!owner.orders_a_start().await, "the successor starts the job too");
        assert!(!owner.owns());
    });
}

/// Guards against new jobs that wait for agents that are gone, as jobs from before the claim have to.
#[test]
fn a_job_that_was_stored_under_the_owners_claim_waits_for_no_agent() {
    run(async |shared| {
        shared.put(keys::AGENTS, "[\"agent-2\"]", 0);
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        let beside = Process::start("b", 9, &shared);
        until(|| beside.epoch() == 1).await;
        assert_eq!(beside.entry.submit(Id(1), job()).await, Submission::Accepted);
        let started = async { while !owner.orders_a_start().await {} };
        let started = monoio::time::timeout(Duration::from_secs(3), started).await;
        assert!(started.is_ok(), "agent-2 cannot have run the job");
    });
}

/// Guards against another writer whose record names a claim that does not exist.
#[test]
fn a_job_that_names_an_impossible_claim_neither_ends_an_owner_nor_is_left_out() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        while owner.report(false).await.epoch == 0 {}
        let mut record = pack(&job()).expect("a job");
        record.extend(pack(&i64::MAX).expect("a claim"));
        let handle = Handle { caller: "test", shared: shared.clone() };
        let record = Transaction::default().put(keys::job(Id(1)), record);
        handle.commit(record).await.expect("a job");
        while !owner.orders_a_start().await {}
        assert_eq!(owner.epoch(), 1);
    });
}
