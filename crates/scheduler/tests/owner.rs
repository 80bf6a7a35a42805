//! Ownership of the table, and what an owner must not do while it may have a successor.

#[path = "owner/claim.rs"]
mod claim;
#[path = "owner/evacuation.rs"]
mod evacuation;
#[path = "owner/foreign.rs"]
mod foreign;
#[path = "owner/requests.rs"]
mod requests;
#[path = "owner/shown.rs"]
mod shown;
#[path = "owner/store.rs"]
mod store;
#[path = "owner/waits.rs"]
mod waits;
#[path = "owner/zone.rs"]
mod zone;

use futures_channel::mpsc::{UnboundedSender, unbounded};
use futures_channel::oneshot;
use shallotflow_core::graph::{Id, Job, Queue, Spec, Step};
use shallotflow_core::list::Received;
use shallotflow_core::resources::Bundle;
use shallotflow_policy::plan::message::{
    Additions, Incarnation, Kind, Profile, Reply, Report, Status,
};
use shallotflow_runtime::executor;
use shallotflow_scheduler::entry::{Entry, Settings, Submission, keys};
use shallotflow_scheduler::peers::{Call as PeerCall, Request, Response, pack};
use shallotflow_store::store::Store;
use shallotflow_store::transaction::{Compare, Transaction, Write};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use store::{Call, Delivery, Handle, Shared, Watches};

/// Stops a test that hangs; no test waits for it.
const HANG: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(2);
const AGENT: &str = "agent-1";
const EVACUATION_PREFIX: &str = "stop/";
const DOMAIN: &str = "east";

/// An entry that uses the test's store; other entries cannot reach it.
struct Process {
    entry: Rc<Entry>,
    calls: UnboundedSender<PeerCall>,
    sequence: Cell<u64>,
    /// What the agent knows of the evacuation of its worker.
    evacuated: Cell<bool>,
}

fn run(test: impl AsyncFnOnce(Rc<Shared>)) {
    executor::run(async {
        let ended = monoio::time::timeout(HANG, test(Rc::default())).await;
        ended.expect("the test ends in time");
    })
    .expect("a runtime");
}

impl Process {
    fn start(name: &'static str, process: u64, shared: &Rc<Shared>) -> Self {
        Self::start_with(Self::settings(), name, process, shared)
    }

    fn settings() -> Settings {
        Settings {
            first_claim: Duration::from_millis(1),
            claim_pause: Duration::from_millis(5),
            presence_lease: Duration::from_millis(60),
            renewal_interval: Duration::from_millis(10),
            reply_wait: Duration::from_millis(40),
            ask_limit: Duration::from_millis(20),
            store_pause: Duration::from_millis(2),
            tick: Duration::from_millis(2),
            sizes_settle: Duration::from_millis(20),
            learned_interval: Duration::from_millis(1),
            evacuation_prefix: Some(EVACUATION_PREFIX.into()),
            // Long enough that only a change or a failure of the watch can be the cause.
            evacuation_interval: HANG,
            ..Settings::default()
        }
    }

    fn start_with(
        settings: Settings,
        name: &'static str,
        process: u64,
        shared: &Rc<Shared>,
    ) -> Self {
        // Nothing listens at this address.
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        Self::start_at(address, settings, name, process, shared)
    }

    /// Starts an entry that announces `address` to the others.
    fn start_at(
        address: SocketAddr,
        settings: Settings,
        name: &'static str,
        process: u64,
        shared: &Rc<Shared>,
    ) -> Self {
        let store = Rc::new(Handle { caller: name, shared: shared.clone() });
        let entry = Entry::new(settings, name.into(), process, address, store);
        let (calls, receiver) = unbounded();
        entry.start(receiver);
        Self { entry, calls, sequence: Cell::new(0), evacuated: Cell::new(false) }
    }

    fn owns(&self) -> bool {
        self.entry.dump()["owned"] == true
    }

    fn epoch(&self) -> u64 {
        self.entry.dump()["epoch"].as_u64().unwrap_or_default()
    }

    /// Sends a report of the agent, whose worker is idle or gone, and waits for the reply.
    async fn report(&self, vacant: bool) -> Reply {
        self.send_report(vacant, self.epoch()).await
    }

    /// Sends a report that is meant for the owner of `epoch`.
    async fn report_to(&self, epoch: u64) -> Reply {
        self.send_report(false, epoch).await
    }

    async fn send_report(&self, vacant: bool, epoch: u64) -> Reply {
        self.sequence.set(self.sequence.get() + 1);
        let incarnation = Incarnation { id: "worker-1".into(), started_ms: 1 };
        let profile = Profile {
            incarnation: incarnation.clone(),
            service: Queue::SERVICE.into(),
            capacity: Bundle { millicores: 1_000, ..Bundle::default() },
            labels: Vec::new(),
            rack: None,
            status: Status::Ready,
            failure_domain: DOMAIN.into(),
            cold_remaining_ms: 0,
        };
        let report = Report {
            agent: AGENT.into(),
            process: 1,
            epoch,
            sequence: self.sequence.get(),
            incarnation: Some(incarnation),
            worker: Some(profile),
            vacant,
            complete: !vacant,
            running: Received::default().into_whole().ok(),
            lacks_traits: false,
            ends: Vec::new(),
            answers: Vec::new(),
            received: 0,
            additions: Additions { evacuated: self.evacuated.get(), ..Additions::default() },
        };
        let (sender, reply) = oneshot::channel();
        let call = PeerCall::Report(Box::new(report), sender);
        self.calls.unbounded_send(call).expect("an entry that runs");
        let reply = reply.await.expect("a reply");
        self.evacuated.set(reply.evacuated);
        reply
    }

    /// Whether the entry answers other entries that it owns the table.
    async fn says_that_it_owns(&self) -> bool {
        let (sender, answer) = oneshot::channel();
        let request = Request::Status { epoch: 0, store_age_ms: 0 };
        self.calls.unbounded_send(PeerCall::Ask(Box::new(request), sender)).expect("an entry");
        let answer = answer.await.expect("an answer");
        matches!(answer, Response::Status { owned: true, .. })
    }

    /// Whether a reply to the agent orders a start.
    async fn orders_a_start(&self) -> bool {
        let reply = self.report(false).await;
        reply.orders.iter().any(|order| matches!(order.kind, Kind::Start { .. }))
    }
}

async fn until(condition: impl Fn() -> bool) {
    while !condition() {
        monoio::time::sleep(PAUSE).await;
    }
}

fn job() -> Job {
    let queue = Queue { name: "render".into(), service: Queue::SERVICE.into(), ..Queue::default() };
    let step =
        Step { count: 1, need: Bundle { millicores: 10, ..Bundle::default() }, ..Step::default() };
    Job { queue, spec: Spec { steps: vec![step], ..Spec::default() }, accepted_ms: 0 }
}

fn writes(transaction: &Transaction, wanted: &str) -> bool {
    transaction.writes.iter().any(|write| matches!(write, Write::Put { key, .. } if key == wanted))
}

fn presence(name: &str) -> String {
    format!("{}{name}", keys::ENTRIES)
}

#[test]
fn an_owner_whose_presence_has_ended_starts_nothing_until_it_is_renewed() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        while owner.report(false).await.epoch == 0 {}
        // The store answers all calls except those for the lease of the owner's presence, which has
        // ended.
        shared.intercept(|_, call| match call {
            Call::Lease => Delivery::Silent,
            _ => Delivery::Serve,
        });
        shared.expire_leases();
        monoio::time::sleep(Duration::from_millis(80)).await;
        assert_eq!(owner.entry.submit(Id(1), job()).await, Submission::Accepted);
        for _ in 0..3 {
            assert!(!owner.orders_a_start().await, "a successor may know the job too");
        }
        shared.serve_all();
        while !owner.orders_a_start().await {}
    });
}

#[test]
fn an_owner_whose_presence_has_ended_lets_no_agent_renew_leases_until_it_is_renewed() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        while owner.report(false).await.epoch == 0 {}
        assert_eq!(owner.report(false).await.sequence, owner.sequence.get());
        shared.intercept(|_, call| match call {
            Call::Lease => Delivery::Silent,
            _ => Delivery::Serve,
        });
        shared.expire_leases();
        monoio::time::sleep(Duration::from_millis(80)).await;
        assert_eq!(owner.entry.submit(Id(1), job()).await, Submission::Accepted);
        for _ in 0..3 {
            let renewed = owner.report(false).await.sequence;
            assert_eq!(renewed, 0, "a successor waits for older leases only");
        }
        shared.serve_all();
        while owner.report(false).await.sequence != owner.sequence.get() {}
    });
}

#[test]
fn an_owner_that_sees_no_other_entry_is_not_alone_once_another_one_has_called() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        while owner.report(false).await.epoch == 0 {}
        let (sender, answer) = oneshot::channel();
        let request = Request::Status { epoch: owner.epoch(), store_age_ms: 0 };
        owner.calls.unbounded_send(PeerCall::Ask(Box::new(request), sender)).expect("an entry");
        answer.await.expect("an answer");
        // The presence of both has ended, and the owner reaches neither the store nor the other one.
        shared.intercept(|_, _| Delivery::Silent);
        shared.expire_leases();
        monoio::time::sleep(Duration::from_millis(80)).await;
        assert!(owner.owns());
        assert_eq!(owner.report(false).await.sequence, 0, "the other entry may be its successor");
    });
}

#[test]
fn an_owner_renews_its_presence_only_if_nobody_has_claimed_the_table() {
    run(async |shared| {
        let owner = Rc::new(Process::start("a", 1, &shared));
        until(|| owner.owns()).await;
        let successor = Process::start("b", 2, &shared);
        until(|| shared.text(&presence("b")).is_some()).await;
        shared
            .intercept(|caller, _| if caller == "a" { Delivery::Silent } else { Delivery::Serve });
        shared.expire_leases();
        until(|| successor.owns()).await;
        let seen = Rc::new(Cell::new(None));
        let (noted, watched) = (seen.clone(), owner.clone());
        let store = shared.clone();
        shared.intercept(move |caller, call| {
            if let Call::Commit(transaction) = call
                && caller == "a"
                && writes(transaction, &presence("a"))
                && store.text(&presence("a")).is_none()
            {
                let mut compared = transaction.compares.iter().map(Compare::key);
                noted.set(Some((watched.owns(), compared.any(|key| key == keys::OWNER))));
            }
            Delivery::Serve
        });
        until(|| seen.get().is_some()).await;
        // Either the entry already knows that it is no owner, or the store's comparison shows it.
        let (owned, compared) = seen.get().expect("a presence");
        assert!(
            !owned || compared,
            "an owner renewed its presence without comparing the owner key"
        );
        until(|| !owner.owns()).await;
        assert!(successor.owns());
    });
}

#[test]
fn a_job_that_fits_no_worker_is_refused_once_the_workers_are_known() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        let large = |id| {
            let mut job = job();
            let need = Bundle { millicores: 1_001, ..Bundle::default() };
            job.spec.steps.push(Step { count: 1, need, ..Step::default() });
            owner.entry.submit(Id(id), job)
        };
        assert_eq!(large(1).await, Submission::Accepted, "no worker is known yet");
        while owner.report(false).await.epoch == 0 {}
        let mut id = 2;
        while large(id).await == Submission::Accepted {
            id += 1;
        }
        assert_eq!(large(id).await, Submission::TooLarge { step: 1 });
        assert_eq!(shared.text(&keys::job(Id(id))), None);
        assert_eq!(owner.entry.submit(Id(id + 1), job()).await, Submission::Accepted);
    });
}

#[test]
fn an_entry_that_is_not_present_claims_nothing() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        let other = Process::start("b", 2, &shared);
        until(|| shared.text(&presence("b")).is_some()).await;
        shared.intercept(|caller, call| match call {
            Call::Lease if caller == "b" => Delivery::Silent,
            _ => Delivery::Serve,
        });
        monoio::time::sleep(Duration::from_millis(80)).await;
        let claims = Rc::new(Cell::new(0));
        let counted = claims.clone();
        shared.intercept(move |caller, call| match call {
            _ if caller == "a" => Delivery::Silent,
            Call::Lease => Delivery::Silent,
            Call::Commit(transaction) if writes(transaction, keys::OWNER) => {
                counted.set(counted.get() + 1);
                Delivery::Serve
            }
            _ => Delivery::Serve,
        });
        shared.expire_leases();
        monoio::time::sleep(Duration::from_millis(300)).await;
        // A third entry would find this entry absent and claim the table at once.
        assert_eq!(claims.get(), 0);
        shared
            .intercept(|caller, _| if caller == "a" { Delivery::Silent } else { Delivery::Serve });
        until(|| other.owns()).await;
    });
}

#[test]
fn learned_disturbance_rates_are_stored_along_with_other_records() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        assert_eq!(shared.text(keys::RATES), None);
        while shared.text(keys::AGENTS).as_deref() != Some("[\"agent-1\"]") {
            owner.report(false).await;
        }
        assert!(shared.text(keys::RATES).is_some());
        let successor = Process::start("b", 2, &shared);
        until(|| shared.text(&presence("b")).is_some()).await;
        owner.entry.leave().await;
        until(|| successor.owns()).await;
    });
}

#[test]
fn a_job_whose_progress_cannot_be_read_is_not_started_anew() {
    run(async |shared| {
        let packed = pack(&job()).expect("a job");
        let record = |key: String, value: Vec<u8>| Transaction::default().put(key, value);
        let handle = Handle { caller: "test", shared: shared.clone() };
        for id in [Id(1), Id(2)] {
            handle.commit(record(keys::job(id), packed.clone())).await.expect("a job");
        }
        let damaged = record(keys::progress(Id(1)), vec![0xc1, 0x00]);
        handle.commit(damaged).await.expect("a record");
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        let mut started = BTreeSet::new();
        while !started.contains(&Id(2)) {
            let reply = owner.report(false).await;
            started.extend(reply.orders.iter().map(|order| order.task.job));
        }
        assert_eq!(started, BTreeSet::from([Id(2)]));
        assert!(owner.entry.state("render", Id(1)).await.is_err(), "its state is not known");
    });
}

#[test]
fn an_invalid_job_neither_ends_an_owner_nor_delays_other_jobs() {
    run(async |shared| {
        // A step that depends on one that does not exist, from the store and from another entry.
        let mut invalid = job();
        invalid.spec.steps[0].after = vec![7];
        let handle = Handle { caller: "test", shared: shared.clone() };
        for (id, job) in [(Id(1), invalid.clone()), (Id(2), job())] {
            let packed = pack(&job).expect("a job");
            let record = Transaction::default().put(keys::job(id), packed);
            handle.commit(record).await.expect("a record");
        }
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        let (sender, answer) = oneshot::channel();
        let request = Request::JobStored { id: Id(3), job: invalid, claim: 0 };
        owner.calls.unbounded_send(PeerCall::Ask(Box::new(request), sender)).expect("an entry");
        answer.await.expect("an answer");
        let mut started = BTreeSet::new();
        while !started.contains(&Id(2)) {
            let reply = owner.report(false).await;
            started.extend(reply.orders.iter().map(|order| order.task.job));
        }
        assert_eq!(started, BTreeSet::from([Id(2)]));
        assert!(owner.owns());
    });
}

#[test]
fn a_claim_fails_when_the_owner_is_present_again() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        let other = Process::start("b", 2, &shared);
        until(|| shared.text(&presence("b")).is_some()).await;
        let own = shared.text(&presence("a")).expect("a presence");
        let claims = Rc::new(Cell::new(0));
        let counted = claims.clone();
        let store = shared.clone();
        // The owner cannot renew its presence; the test restores it at the time of the claim.
        shared.intercept(move |caller, call| match call {
            _ if caller == "a" => Delivery::Silent,
            Call::Commit(transaction) if writes(transaction, keys::OWNER) => {
                counted.set(counted.get() + 1);
                store.put(&presence("a"), &own, 0);
                Delivery::Serve
            }
            _ => Delivery::Serve,
        });
        shared.expire_leases();
        until(|| claims.get() > 0).await;
        monoio::time::sleep(Duration::from_millis(20)).await;
        let holder = shared.text(keys::OWNER).expect("an owner");
        assert!(holder.contains("\"entry\":\"a\""), "{holder}");
        assert!(!other.owns());
    });
}

/// Guards against a second owner beside one that is present: the claimant knows the former process of that entry, and
/// the claim of the present one.
#[test]
fn a_claim_fails_when_the_owner_is_present_as_a_later_process() {
    run(async |shared| {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let presence_of = |process: u64| {
            serde_json::json!({ "process": process, "address": address, "strength": 1 }).to_string()
        };
        let owner_of = |epoch: u64, process: u64| {
            let owner = serde_json::json!({
                "epoch": epoch, "entry": "a", "process": process, "address": address
            });
            owner.to_string()
        };
        shared.put(&presence("a"), &presence_of(1), 0);
        shared.put(keys::OWNER, &owner_of(1, 1), 0);
        let other = Process::start("b", 9, &shared);
        until(|| shared.text(&presence("b")).is_some()).await;
        monoio::time::sleep(Duration::from_millis(50)).await;
        assert!(!other.owns(), "the owner is present");
        // The list of the present entries lacks the later process.
        shared.set_watches(Watches::Silent);
        shared.hide(&presence("a"));
        shared.put(&presence("a"), &presence_of(2), 0);
        shared.put(keys::OWNER, &owner_of(2, 2), 0);
        shared.set_watches(Watches::Fail);
        monoio::time::sleep(Duration::from_millis(800)).await;
        let holder = shared.text(keys::OWNER).expect("an owner");
        assert!(holder.contains("\"process\":2"), "{holder}");
        assert!(!other.owns());
        shared.delete(&presence("a"));
        until(|| other.owns()).await;
    });
}

#[test]
fn a_claim_fails_when_the_store_has_lost_the_presence_of_who_claims() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        let other = Process::start("b", 2, &shared);
        until(|| shared.text(&presence("b")).is_some()).await;
        let claims = Rc::new(Cell::new(0));
        let counted = claims.clone();
        let store = shared.clone();
        // All leases end just before the first claim arrives.
        shared.intercept(move |caller, call| match call {
            _ if caller == "a" => Delivery::Silent,
            Call::Commit(transaction) if writes(transaction, keys::OWNER) => {
                counted.set(counted.get() + 1);
                if counted.get() == 1 {
                    store.expire_leases();
                }
                Delivery::Serve
            }
            Call::Commit(_) | Call::Lease if counted.get() == 1 => Delivery::Silent,
            _ => Delivery::Serve,
        });
        shared.expire_leases();
        until(|| claims.get() > 0).await;
        monoio::time::sleep(Duration::from_millis(20)).await;
        let holder = shared.text(keys::OWNER).expect("an owner");
        assert!(holder.contains("\"entry\":\"a\""), "{holder}");
        shared
            .intercept(|caller, _| if caller == "a" { Delivery::Silent } else { Delivery::Serve });
        until(|| other.owns()).await;
    });
}

#[test]
fn no_task_starts_at_an_agent_that_a_lost_write_may_have_removed_from_the_list() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        while shared.text(keys::AGENTS).as_deref() != Some("[\"agent-1\"]") {
            owner.report(false).await;
        }
        // The agent is removed from the list; the answer is lost, and nothing can be read back.
        shared.intercept(|_, call| match call {
            Call::Commit(transaction) if writes(transaction, keys::AGENTS) => Delivery::LoseAnswer,
            Call::Read(_) => Delivery::Silent,
            _ => Delivery::Serve,
        });
        while shared.text(keys::AGENTS).as_deref() != Some("[]") {
            owner.report(true).await;
        }
        shared.intercept(|_, call| match call {
            Call::Commit(transaction) if writes(transaction, keys::AGENTS) => Delivery::Silent,
            Call::Read(_) => Delivery::Silent,
            _ => Delivery::Serve,
        });
        assert_eq!(owner.entry.submit(Id(1), job()).await, Submission::Accepted);
        for _ in 0..3 {
            assert!(!owner.orders_a_start().await, "a successor would not wait for the agent");
        }
        shared.serve_all();
        while !owner.orders_a_start().await {}
        assert_eq!(shared.text(keys::AGENTS).as_deref(), Some("[\"agent-1\"]"));
    });
}

#[test]
fn a_delayed_list_of_agents_does_not_replace_a_newer_one() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        while shared.text(keys::AGENTS).as_deref() != Some("[\"agent-1\"]") {
            owner.report(false).await;
        }
        shared.intercept(|_, call| match call {
            Call::Commit(transaction) if writes(transaction, keys::AGENTS) => Delivery::Delayed,
            _ => Delivery::Serve,
        });
        while shared.delayed_count() == 0 {
            owner.report(true).await;
        }
        shared.serve_all();
        // Meanwhile the list changes twice, back to its first content.
        while shared.text(keys::AGENTS).as_deref() != Some("[]") {
            owner.report(true).await;
        }
        while shared.text(keys::AGENTS).as_deref() != Some("[\"agent-1\"]") {
            owner.report(false).await;
        }
        shared.apply_delayed();
        assert_eq!(shared.text(keys::AGENTS).as_deref(), Some("[\"agent-1\"]"));
    });
}

#[test]
fn a_reply_that_waited_renews_no_leases_for_a_later_report() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        while owner.report(false).await.sequence == 0 {}
        shared.intercept(|_, call| match call {
            Call::Lease => Delivery::Silent,
            _ => Delivery::Serve,
        });
        // The first report arrives while the owner is present and waits for orders; the second arrives
        // after the presence has ended.
        monoio::time::sleep(Duration::from_millis(42)).await;
        let first = owner.report(false);
        let second = async {
            monoio::time::sleep(Duration::from_millis(30)).await;
            shared.expire_leases();
            assert_eq!(owner.entry.submit(Id(1), job()).await, Submission::Accepted);
            owner.report(false).await
        };
        let (first, second) = futures_util::join!(first, second);
        assert_eq!(second.sequence, 0);
        assert!(first.sequence < owner.sequence.get(), "the second report had no certain reply");
    });
}

#[test]
fn an_owner_that_stops_gives_the_table_up_before_it_releases_it() {
    run(async |shared| {
        let owner = Rc::new(Process::start("a", 1, &shared));
        until(|| owner.owns()).await;
        let owned = Rc::new(Cell::new(None));
        let (noted, watched) = (owned.clone(), owner.clone());
        shared.intercept(move |_, call| {
            if let Call::Commit(transaction) = call
                && writes(transaction, keys::OWNER)
            {
                noted.set(Some(watched.owns()));
            }
            Delivery::Serve
        });
        owner.entry.leave().await;
        assert_eq!(owned.get(), Some(false), "the answer to the release may be lost");
    });
}

/// While connections to the store are silent, each call takes until its timeout. Decisions must not
/// wait for the deletion of old jobs then.
#[test]
fn tasks_start_while_the_deletion_of_ended_jobs_is_not_answered() {
    run(async |shared| {
        let settings = Settings { retention: PAUSE, ..Process::settings() };
        let owner = Process::start_with(settings, "a", 1, &shared);
        until(|| owner.owns()).await;
        while owner.report(false).await.epoch == 0 {}
        let deletions = Rc::new(Cell::new(0));
        let seen = deletions.clone();
        shared.intercept(move |_, call| match call {
            Call::Commit(transaction)
                if transaction.writes.iter().any(|write| matches!(write, Write::Delete { .. })) =>
            {
                seen.set(seen.get() + 1);
                Delivery::Hang
            }
            _ => Delivery::Serve,
        });
        assert_eq!(owner.entry.submit(Id(1), job()).await, Submission::Accepted);
        owner.entry.cancel("render", Id(1)).await;
        until(|| deletions.get() > 0).await;
        assert_eq!(owner.entry.submit(Id(2), job()).await, Submission::Accepted);
        while !owner.orders_a_start().await {}
    });
}
