//! Who owns the table, and what an owner that may have a successor keeps from doing.

#[path = "owner/store.rs"]
mod store;

use futures_channel::mpsc::{UnboundedSender, unbounded};
use futures_channel::oneshot;
use shallotflow_core::graph::{Id, Job, Queue, Spec, Step};
use shallotflow_core::resources::Bundle;
use shallotflow_policy::plan::message::{Kind, Lifetime, Profile, Reply, Report, Standing};
use shallotflow_runtime::executor;
use shallotflow_scheduler::entry::{Entry, Settings, Submission, keys};
use shallotflow_scheduler::peers::{Call as PeerCall, pack};
use shallotflow_store::store::Store;
use shallotflow_store::transaction::{Transaction, Write};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use store::{Call, Handle, Shared, Verdict};

/// Stops a hang; no test waits for it.
const HANG: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(2);
const AGENT: &str = "agent-1";

/// An entry over the store of the test; other entries cannot reach it.
struct Process {
    entry: Rc<Entry>,
    calls: UnboundedSender<PeerCall>,
    sequence: Cell<u64>,
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
        let settings = Settings {
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
            ..Settings::default()
        };
        // Nothing listens there.
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
        let store = Rc::new(Handle { caller: name, shared: shared.clone() });
        let entry = Entry::new(settings, name.into(), process, address, store);
        let (calls, receiver) = unbounded();
        entry.start(receiver);
        Self { entry, calls, sequence: Cell::new(0) }
    }

    fn owns(&self) -> bool {
        self.entry.dump()["owned"] == true
    }

    fn epoch(&self) -> u64 {
        self.entry.dump()["epoch"].as_u64().unwrap_or_default()
    }

    /// Sends a report of the agent, whose worker is idle or gone, and waits for the reply.
    async fn report(&self, vacant: bool) -> Reply {
        self.sequence.set(self.sequence.get() + 1);
        let lifetime = Lifetime { id: "worker-1".into(), born_ms: 1 };
        let profile = Profile {
            lifetime: lifetime.clone(),
            service: Queue::SERVICE.into(),
            capacity: Bundle { millicores: 1_000, ..Bundle::default() },
            labels: Vec::new(),
            rack: None,
            standing: Standing::Ready,
        };
        let report = Report {
            agent: AGENT.into(),
            process: 1,
            epoch: self.epoch(),
            sequence: self.sequence.get(),
            lifetime: Some(lifetime),
            worker: Some(profile),
            vacant,
            complete: !vacant,
            running: Some(Vec::new()),
            lacks_features: false,
            ends: Vec::new(),
            answers: Vec::new(),
            received: 0,
        };
        let (sender, reply) = oneshot::channel();
        let call = PeerCall::Report(Box::new(report), sender);
        self.calls.unbounded_send(call).expect("an entry that runs");
        reply.await.expect("a reply")
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
fn an_owner_whose_presence_has_ended_starts_nothing_until_it_is_there_again() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        while owner.report(false).await.epoch == 0 {}
        // The store serves all but the lease of the owner's presence, which has ended.
        shared.judge(|_, call| match call {
            Call::Lease => Verdict::Silent,
            _ => Verdict::Serve,
        });
        shared.lapse();
        monoio::time::sleep(Duration::from_millis(80)).await;
        assert_eq!(owner.entry.submit(Id(1), job()).await, Submission::Accepted);
        for _ in 0..3 {
            assert!(!owner.orders_a_start().await, "a successor may know the job too");
        }
        shared.serve();
        while !owner.orders_a_start().await {}
    });
}

#[test]
fn an_owner_is_there_again_only_if_nobody_has_claimed_the_table() {
    run(async |shared| {
        let owner = Rc::new(Process::start("a", 1, &shared));
        until(|| owner.owns()).await;
        let successor = Process::start("b", 2, &shared);
        until(|| shared.text(&presence("b")).is_some()).await;
        shared.judge(|caller, _| if caller == "a" { Verdict::Silent } else { Verdict::Serve });
        shared.lapse();
        until(|| successor.owns()).await;
        let seen = Rc::new(Cell::new(None));
        let (noted, watched) = (seen.clone(), owner.clone());
        let store = shared.clone();
        shared.judge(move |caller, call| {
            if let Call::Commit(transaction) = call
                && caller == "a"
                && writes(transaction, &presence("a"))
                && store.text(&presence("a")).is_none()
            {
                noted.set(Some((watched.owns(), !transaction.compares.is_empty())));
            }
            Verdict::Serve
        });
        until(|| seen.get().is_some()).await;
        // Either it knows already that it is no owner, or the store tells it.
        let (owned, compared) = seen.get().expect("a presence");
        assert!(!owned || compared, "an owner came back without asking for the table");
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
fn an_entry_that_is_not_present_itself_claims_nothing() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        let other = Process::start("b", 2, &shared);
        until(|| shared.text(&presence("b")).is_some()).await;
        shared.judge(|caller, call| match call {
            Call::Lease if caller == "b" => Verdict::Silent,
            _ => Verdict::Serve,
        });
        monoio::time::sleep(Duration::from_millis(80)).await;
        let claims = Rc::new(Cell::new(0));
        let counted = claims.clone();
        shared.judge(move |caller, call| match call {
            _ if caller == "a" => Verdict::Silent,
            Call::Lease => Verdict::Silent,
            Call::Commit(transaction) if writes(transaction, keys::OWNER) => {
                counted.set(counted.get() + 1);
                Verdict::Serve
            }
            _ => Verdict::Serve,
        });
        shared.lapse();
        monoio::time::sleep(Duration::from_millis(300)).await;
        // A third entry would find it absent and claim from it at once.
        assert_eq!(claims.get(), 0);
        shared.judge(|caller, _| if caller == "a" { Verdict::Silent } else { Verdict::Serve });
        until(|| other.owns()).await;
    });
}

#[test]
fn what_was_learned_of_images_is_stored_along_with_other_records() {
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
fn a_claim_fails_when_the_owner_is_there_again() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        let other = Process::start("b", 2, &shared);
        until(|| shared.text(&presence("b")).is_some()).await;
        let own = shared.text(&presence("a")).expect("a presence");
        let claims = Rc::new(Cell::new(0));
        let counted = claims.clone();
        let store = shared.clone();
        // The owner cannot renew by itself; the test does it at the moment of the claim.
        shared.judge(move |caller, call| match call {
            _ if caller == "a" => Verdict::Silent,
            Call::Commit(transaction) if writes(transaction, keys::OWNER) => {
                counted.set(counted.get() + 1);
                store.put(&presence("a"), &own, 0);
                Verdict::Serve
            }
            _ => Verdict::Serve,
        });
        shared.lapse();
        until(|| claims.get() > 0).await;
        monoio::time::sleep(Duration::from_millis(20)).await;
        let holder = shared.text(keys::OWNER).expect("an owner");
        assert!(holder.contains("\"entry\":\"a\""), "{holder}");
        assert!(!other.owns());
    });
}

#[test]
fn no_task_starts_at_an_agent_that_a_lost_write_may_have_taken_off_the_list() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        while shared.text(keys::AGENTS).as_deref() != Some("[\"agent-1\"]") {
            owner.report(false).await;
        }
        // The agent is taken off; the answer is lost, and nothing can be read back.
        shared.judge(|_, call| match call {
            Call::Commit(transaction) if writes(transaction, keys::AGENTS) => Verdict::LoseAnswer,
            Call::Read => Verdict::Silent,
            _ => Verdict::Serve,
        });
        while shared.text(keys::AGENTS).as_deref() != Some("[]") {
            owner.report(true).await;
        }
        shared.judge(|_, call| match call {
            Call::Commit(transaction) if writes(transaction, keys::AGENTS) => Verdict::Silent,
            Call::Read => Verdict::Silent,
            _ => Verdict::Serve,
        });
        assert_eq!(owner.entry.submit(Id(1), job()).await, Submission::Accepted);
        for _ in 0..3 {
            assert!(!owner.orders_a_start().await, "a successor would not wait for the agent");
        }
        shared.serve();
        while !owner.orders_a_start().await {}
        assert_eq!(shared.text(keys::AGENTS).as_deref(), Some("[\"agent-1\"]"));
    });
}

#[test]
fn a_list_of_agents_that_comes_late_does_not_replace_a_newer_one() {
    run(async |shared| {
        let owner = Process::start("a", 1, &shared);
        until(|| owner.owns()).await;
        while shared.text(keys::AGENTS).as_deref() != Some("[\"agent-1\"]") {
            owner.report(false).await;
        }
        shared.judge(|_, call| match call {
            Call::Commit(transaction) if writes(transaction, keys::AGENTS) => Verdict::Late,
            _ => Verdict::Serve,
        });
        while shared.waits_late() == 0 {
            owner.report(true).await;
        }
        shared.serve();
        // The list changes twice meanwhile, and is what it was in the end.
        while shared.text(keys::AGENTS).as_deref() != Some("[]") {
            owner.report(true).await;
        }
        while shared.text(keys::AGENTS).as_deref() != Some("[\"agent-1\"]") {
            owner.report(false).await;
        }
        shared.carry_late();
        assert_eq!(shared.text(keys::AGENTS).as_deref(), Some("[\"agent-1\"]"));
    });
}
