//! Tests the store client against the stand-in over TCP: transactions, leases, watches and faults.

use event_listener::Event;
use monoio::net::TcpListener;
use shallotflow_runtime::executor;
use shallotflow_standin::store::{Counters, Faults, Server, serve};
use shallotflow_store::client::{Client, Settings};
use shallotflow_store::error::Error;
use shallotflow_store::store::Store;
use shallotflow_store::transaction::Transaction;
use shallotflow_store::watch::Change;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

struct Fixture {
    client: Client,
    faults: Faults,
    counters: Counters,
}

fn run(test: impl AsyncFnOnce(Fixture)) {
    executor::run(async {
        let faults = Faults::default();
        let counters = Counters::default();
        let server = Server::new(faults.clone(), counters.clone(), 7);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let live = listener.local_addr().expect("a bound address");
        monoio::spawn(serve(listener, server, Rc::new(Event::new())));
        // Nothing listens on the first endpoint, so every test covers one failover.
        let dead = SocketAddr::from(([127, 0, 0, 1], 1));
        let call_timeout = Duration::from_millis(300);
        let client = Client::new(Settings { endpoints: vec![dead, live], call_timeout });
        let fixture = Fixture { client, faults, counters };
        monoio::time::timeout(TEST_TIMEOUT, test(fixture))
            .await
            .expect("completion within the test timeout");
    })
    .expect("a runtime");
}

fn create(key: &str, value: &str) -> Transaction {
    Transaction::default().created_by(key, 0).put(key, value)
}

#[test]
fn a_second_creation_of_a_key_is_reported_as_not_applied() {
    run(async |Fixture { client, counters, .. }| {
        let revision = client.commit(create("/a", "1")).await.expect("a new key");
        let second = client.commit(create("/a", "2")).await;
        assert_eq!(second, Err(Error::NotApplied { key: "/a".to_owned() }));
        let pair = client.get("/a").await.expect("an answer").expect("the key");
        assert_eq!((pair.value.as_slice(), pair.create_revision), (&b"1"[..], revision));
        let swap = Transaction::default().written_by("/a", pair.mod_revision).delete("/a");
        client.commit(swap).await.expect("the read revision is current");
        assert_eq!(client.get("/a").await, Ok(None));
        assert_eq!((counters.read().writes, counters.read().reads), (3, 2));
    });
}

#[test]
fn a_range_read_returns_exactly_the_keys_of_a_prefix() {
    run(async |Fixture { client, .. }| {
        for key in ["/a/1", "/a/2", "/b", "/a0"] {
            client.commit(create(key, key)).await.expect("a new key");
        }
        let snapshot = client.range("/a/").await.expect("an answer");
        let keys: Vec<_> = snapshot.pairs.rows().iter().map(|pair| pair.key.as_str()).collect();
        assert_eq!(keys, ["/a/1", "/a/2"]);
    });
}

#[test]
fn a_lost_reply_leaves_the_outcome_unknown_until_it_is_read_back() {
    run(async |Fixture { client, faults, .. }| {
        client.get("/warm").await.expect("a connection");
        faults.set_lost_answers(1.0);
        let lost = client.commit(create("/a", "token")).await.expect_err("no answer");
        assert!(lost.may_be_applied(), "{lost}");
        faults.set_lost_answers(0.0);
        let pair = client.get("/a").await.expect("an answer").expect("it was applied");
        assert_eq!(pair.value, b"token");
    });
}

#[test]
fn a_frozen_store_has_an_unknown_outcome_and_a_dead_one_is_unavailable() {
    run(async |Fixture { client, faults, .. }| {
        faults.set_frozen(true);
        let error = client.commit(create("/a", "1")).await.expect_err("no answer");
        assert!(error.may_be_applied(), "{error}");
        let endpoints = vec![SocketAddr::from(([127, 0, 0, 1], 1))];
        let dead = Client::new(Settings { endpoints, ..Settings::default() });
        let error = dead.commit(create("/a", "1")).await.expect_err("nothing listens");
        assert!(matches!(error, Error::Unavailable { .. }), "{error}");
    });
}

#[test]
fn an_expired_lease_deletes_its_keys_and_is_reported_as_gone() {
    run(async |Fixture { client, faults, .. }| {
        let lease = client.grant(10 * SECOND).await.expect("a lease");
        let claim = Transaction::default().put_leased("/owner", "me", lease);
        client.commit(claim.clone()).await.expect("a live lease");
        client.keep_alive(lease).await.expect("a live lease");
        faults.expire_leases();
        assert_eq!(client.keep_alive(lease).await, Err(Error::LeaseGone { id: lease }));
        assert_eq!(client.get("/owner").await, Ok(None));
        assert_eq!(client.commit(claim).await, Err(Error::LeaseGone { id: lease }));
    });
}

#[test]
fn a_lease_expires_without_renewal() {
    run(async |Fixture { client, .. }| {
        let lease = client.grant(SECOND).await.expect("a lease");
        let claim = Transaction::default().put_leased("/owner", "me", lease);
        let revision = client.commit(claim).await.expect("a live lease");
        let mut watch = client.watch("/owner", revision + 1).await.expect("a watch");
        let update = watch.next().await.expect("the end of the lease");
        assert!(matches!(&update.changes[..], [Change::Delete { .. }]), "{update:?}");
    });
}

#[test]
fn a_reopened_watch_continues_without_a_gap() {
    run(async |Fixture { client, faults, .. }| {
        let first = client.commit(create("/a/1", "1")).await.expect("a new key");
        let mut watch = client.watch("/a/", first).await.expect("a watch");
        let update = watch.next().await.expect("the first change");
        faults.set_down(true);
        watch.next().await.expect_err("the watch breaks");
        faults.set_down(false);
        client.commit(create("/a/2", "2")).await.expect("a new key");
        let mut watch = client.watch("/a/", update.revision + 1).await.expect("a watch");
        let update = watch.next().await.expect("the second change");
        let [Change::Put(pair)] = &update.changes[..] else { panic!("{update:?}") };
        assert_eq!(pair.key, "/a/2");
    });
}
