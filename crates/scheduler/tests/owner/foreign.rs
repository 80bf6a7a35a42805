//! Records of another writer under the keys of the entries.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use test_case::test_case;

/// Time within which a table whose records were overwritten is owned again.
const RECOVERY: Duration = Duration::from_secs(5);

async fn within_recovery(condition: impl Fn() -> bool) -> bool {
    monoio::time::timeout(RECOVERY, until(condition)).await.is_ok()
}

fn nested() -> String {
    "[".repeat(100_000)
}

fn owner_record(epoch: &str, port: u32) -> String {
    let address = format!("127.0.0.1:{port}");
    format!(r#"{{"epoch":{epoch},"entry":"a","process":1,"address":"{address}"}}"#)
}

#[test_case("\u{0}" ; "bytes that are no json")]
#[test_case("{}" ; "fields missing")]
#[test_case(&nested() ; "deeply nested")]
#[test_case(&owner_record("1", 99_999) ; "a port out of range")]
#[test_case(&owner_record("1e300", 1) ; "a number too large")]
#[test_case(&owner_record("18446744073709551615", 1) ; "the largest epoch")]
#[test_case(&owner_record("0", 1) ; "an epoch that was never claimed")]
fn an_overwritten_record_of_the_owner_stops_no_table(record: &str) {
    let record = record.to_owned();
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        let former = owner.epoch();
        while shared.text(keys::AGENTS).is_none() {
            owner.report(false).await;
        }
        shared.put(keys::OWNER, &record, 0);
        assert!(
            within_recovery(|| owner.owns() && owner.epoch() > former).await,
            "no entry owns the table again: {:?}, epoch {}",
            shared.text(keys::OWNER).map(|text| text.chars().take(80).collect::<String>()),
            owner.epoch(),
        );
        assert!(owner.epoch() < 1_000, "an epoch of another writer was continued");
        assert_eq!(owner.entry.submit(Id(1), job()).await, Submission::Accepted);
        while !owner.orders_a_start().await {}
    });
}

#[test]
fn a_new_system_beside_an_unreadable_record_of_the_owner_gets_an_owner() {
    run(async |shared| {
        shared.put(keys::OWNER, "\u{0}", 0);
        let entries = [Process::start("a", 1, &shared), Process::start("b", 2, &shared)];
        let owned = within_recovery(|| entries.iter().any(Process::owns)).await;
        assert!(!owned, "neither entry answers the other, so either may own the table");
        shared.intercept(|caller, _| match caller {
            "b" => Delivery::Silent,
            _ => Delivery::Serve,
        });
        shared.expire_leases();
        assert!(within_recovery(|| entries[0].owns()).await, "the other entry is gone");
    });
}

#[test]
fn a_single_entry_beside_an_unreadable_record_of_the_owner_owns_the_table() {
    run(async |shared| {
        for _ in 0..20 {
            shared.put(keys::OWNER, "\u{0}", 0);
        }
        let owner = Process::start("a", 1, &shared);
        assert!(within_recovery(|| owner.owns()).await, "each claim fails");
        assert!(owner.epoch() > 20, "epoch {} may have been used before", owner.epoch());
    });
}

#[test]
fn the_epoch_rises_with_each_overwritten_record() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        let mut former = owner.epoch();
        for record in ["", "{}", &owner_record("1", 1), "[]"] {
            shared.put(keys::OWNER, record, 0);
            assert!(
                within_recovery(|| owner.owns() && owner.epoch() > former).await,
                "not owned after {record:?}, epoch {} after {former}",
                owner.epoch()
            );
            former = owner.epoch();
        }
    });
}

#[test]
fn nobody_claims_the_table_of_a_present_owner_whose_record_is_overwritten() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        let other = Process::start("b", 2, &shared);
        until(|| shared.text(&presence("b")).is_some()).await;
        let claims = Rc::new(Cell::new(0));
        let counted = claims.clone();
        // The owner neither reads the store nor writes it, but keeps its presence.
        shared.intercept(move |caller, call| match call {
            Call::Lease => Delivery::Serve,
            _ if caller == "a" => Delivery::Silent,
            Call::Commit(transaction) if writes(transaction, keys::OWNER) => {
                counted.set(counted.get() + 1);
                Delivery::Silent
            }
            _ => Delivery::Serve,
        });
        shared.set_watches(Watches::Silent);
        shared.put(keys::OWNER, "{}", 0);
        monoio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(claims.get(), 0, "the owner may still renew leases");
        assert!(!other.owns());
    });
}

#[test_case("{" ; "bytes that are no json")]
#[test_case(&nested() ; "deeply nested")]
#[test_case(r#"{"agent-1":1e300}"# ; "another type")]
fn an_overwritten_list_of_agents_stops_no_owner(list: &str) {
    let list = list.to_owned();
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        while shared.text(keys::AGENTS).as_deref() != Some("[\"agent-1\"]") {
            owner.report(false).await;
        }
        shared.put(keys::AGENTS, &list, 0);
        // A change of the list, whose write finds the other record.
        let changed = async {
            while shared.text(keys::AGENTS).as_deref() != Some("[]") {
                owner.report(true).await;
            }
        };
        let changed = monoio::time::timeout(RECOVERY, changed).await;
        assert!(changed.is_ok(), "the list of agents is not written again");
        assert!(owner.owns());
        // Nothing but a complete list of the agent makes its tasks run here.
        assert_eq!(owner.entry.submit(Id(1), job()).await, Submission::Accepted);
        while !owner.orders_a_start().await {}
    });
}

#[test]
fn a_successor_that_cannot_read_the_list_of_agents_waits_for_all_leases() {
    run(async |shared| {
        shared.put(keys::AGENTS, "{", 0);
        let packed = pack(&job()).expect("a job");
        let handle = Handle { caller: "test", shared: shared.clone() };
        let record = Transaction::default().put(keys::job(Id(1)), packed);
        handle.commit(record).await.expect("a job");
        let presence_lease = Duration::from_secs(1);
        let settings = Settings { presence_lease, ..Process::settings() };
        let limits = settings.limits();
        let owner = Process::start_with(settings, "a", 1, &shared);
        assert!(within_recovery(|| owner.owns()).await, "each claim fails");
        // An agent that is not in the list may run the task: only the end of all leases shows that
        // none does.
        let claimed = std::time::Instant::now();
        while !owner.orders_a_start().await {}
        // The claim came some milliseconds before the entry was seen to own the table.
        let waited = claimed.elapsed() + CLAIM_SEEN;
        assert!(waited > limits.lease.wait() + limits.succession_slack, "started after {waited:?}");
        until(|| shared.text(keys::AGENTS).as_deref() == Some("[\"agent-1\"]")).await;
    });
}

#[test_case("\u{0}" ; "bytes that are no json")]
#[test_case(&nested() ; "deeply nested")]
#[test_case(r#"{"process":1,"address":"127.0.0.1:99999"}"# ; "a port out of range")]
#[test_case(r#"{"process":1,"address":"nowhere"}"# ; "an address that is none")]
#[test_case(r#"{"process":1e300,"address":"127.0.0.1:1"}"# ; "a number too large")]
fn an_overwritten_presence_is_written_again(record: &str) {
    let record = record.to_owned();
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        let present = shared.text(&presence("a"));
        shared.put(&presence("a"), &record, 0);
        shared.put(&presence("ghost"), &record, 0);
        let renewed = within_recovery(|| shared.text(&presence("a")) == present).await;
        assert!(renewed, "the presence stays overwritten");
        assert!(owner.owns());
    });
}

#[test]
fn an_overwritten_presence_of_an_absent_owner_does_not_keep_its_table() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        let other = Process::start("b", 2, &shared);
        until(|| shared.text(&presence("b")).is_some()).await;
        shared
            .intercept(|caller, _| if caller == "a" { Delivery::Silent } else { Delivery::Serve });
        shared.expire_leases();
        shared.put(&presence("a"), "\u{0}", 0);
        monoio::time::sleep(Duration::from_millis(300)).await;
        assert!(!other.owns(), "the owner may not have read that its presence is overwritten");
        let limit = Duration::from_secs(20);
        let owned = monoio::time::timeout(limit, until(|| other.owns())).await;
        assert!(owned.is_ok(), "nobody owns the table of an absent owner");
    });
}

/// Guards against an entry that takes such a record for its own, and whose claims are conditional on a
/// revision that is gone.
#[test]
fn a_presence_of_another_writer_that_can_be_read_keeps_no_entry_from_its_table() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        let former = owner.epoch();
        shared.put(&presence("a"), &owner_record("1", 1), 0);
        monoio::time::sleep(PAUSE).await;
        shared.put(keys::OWNER, "[]", 0);
        assert!(
            within_recovery(|| owner.owns() && owner.epoch() > former).await,
            "no entry owns the table again: {}",
            owner.entry.dump(),
        );
    });
}

/// The seed of the cases: one that has found a fault, or the one in the environment.
fn seed() -> u64 {
    std::env::var("SHALLOTFLOW_FUZZ_SEED").ok().and_then(|seed| seed.parse().ok()).unwrap_or(4)
}

/// Time within which a claim is seen.
const CLAIM_SEEN: Duration = Duration::from_millis(400);

/// Ends a case that waits for what never happens.
const CASE_LIMIT: Duration = Duration::from_secs(60);

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(seed()), failure_persistence: None, cases: 24, max_shrink_iters: 4,
        ..ProptestConfig::default()
    })]

    #[test]
    fn odd_values_under_any_key_stop_no_other_job(
        records in proptest::collection::vec((0..8_usize, odd_value()), 1..6),
    ) {
        run(async |shared| {
            let case = async {
            let owner = Process::start("a", 1, &shared);
            until(|| owner.owns()).await;
            assert_eq!(owner.entry.submit(Id(1), job()).await, Submission::Accepted);
            while !owner.orders_a_start().await {}
            let evacuation = format!("{EVACUATION_PREFIX}west");
            let odd = [
                keys::OWNER.to_owned(), keys::EPOCH.to_owned(), keys::AGENTS.to_owned(),
                keys::RATES.to_owned(), keys::job(Id(1)), keys::progress(Id(1)), presence("a"),
                evacuation,
            ];
            for (key, value) in &records {
                shared.put(&odd[*key], value, 0);
                monoio::time::sleep(PAUSE).await;
            }
            let started = async {
                assert_eq!(owner.entry.submit(Id(2), job()).await, Submission::Accepted);
                loop {
                    let reply = owner.report(false).await;
                    if reply.orders.iter().any(|order| order.task.job == Id(2)) {
                        return;
                    }
                    monoio::time::sleep(PAUSE).await;
                }
            };
            // All leases that the known agents may hold have ended by then.
            let limits = shallotflow_policy::plan::Settings::default();
            let limit = RECOVERY + limits.lease.wait() + limits.succession_slack;
            let started = monoio::time::timeout(limit, started).await;
            assert!(started.is_ok(), "the other job does not start: {}", owner.entry.dump());
            };
            let ended = monoio::time::timeout(CASE_LIMIT, case).await;
            assert!(ended.is_ok(), "the case does not end");
        });
    }
}

fn odd_value() -> impl Strategy<Value = String> {
    prop_oneof![
        ".{0,40}",
        Just(nested()),
        Just("[]".to_owned()),
        Just("18446744073709551615".to_owned()),
        any::<u64>().prop_map(|epoch| owner_record(&epoch.to_string(), 1)),
        (0..200_000_u32).prop_map(|port| owner_record("1", port)),
    ]
}
