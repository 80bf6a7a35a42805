//! Entries on their own threads, with a store stand-in and fake agents.

use event_listener::Event;
use monoio::net::TcpListener;
use shallotflow_core::job::{Record, Spec};
use shallotflow_core::name::Name;
use shallotflow_core::problem::Problem;
use shallotflow_core::resources::Bundle;
use shallotflow_entry::{Bound, Settings};
use shallotflow_policy::ledger::id;
use shallotflow_runtime::executor;
use shallotflow_runtime::stop::{Level, Stop};
use shallotflow_standin::store::{Counters, Faults, Server, serve};
use shallotflow_wire::proto;
use shallotflow_wire::proto::scheduler_client::SchedulerClient;
use shallotflow_wire::rpc::Channel;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Far longer than any test takes; only ends a test that hangs.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const LEDGERS: u32 = 4;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The store of a test; runs on the test's runtime.
pub(crate) struct Store {
    pub(crate) address: SocketAddr,
    pub(crate) faults: Faults,
    pub(crate) counters: Counters,
}

/// An entry on its own thread. Dropping it kills the entry.
pub(crate) struct Entry {
    pub(crate) bound: Bound,
    stop: Stop,
    thread: Option<JoinHandle<()>>,
}

/// Runs `test` with a store stand-in, within [`TEST_TIMEOUT`].
pub(crate) fn run(test: impl AsyncFnOnce(Store)) {
    executor::run(async {
        let (faults, counters) = (Faults::default(), Counters::default());
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let server = Server::new(faults.clone(), counters.clone(), 7);
        monoio::spawn(serve(listener, server, Rc::new(Event::new())));
        let test = test(Store { address, faults, counters });
        monoio::time::timeout(TEST_TIMEOUT, test).await.expect("the test timed out");
    })
    .expect("a runtime");
}

impl Entry {
    /// Starts an entry named `name`.
    pub(crate) fn start(name: &str, store: &Store) -> Self {
        let settings = Settings {
            name: name.into(),
            store: vec![store.address],
            ledgers: LEDGERS,
            owner_lease: Duration::from_secs(1),
            task_lease: Duration::from_secs(1),
            beat: Duration::from_millis(100),
            ..Settings::default()
        };
        let stop = Stop::default();
        let signal = stop.clone();
        let (ready, bound) = mpsc::channel();
        let thread = std::thread::spawn(move || {
            let ready = move |bound| ready.send(bound).expect("the test waits for the address");
            let run = shallotflow_entry::run(settings, signal, ready);
            executor::run(run).expect("a runtime").expect("the entry failed");
        });
        let bound = bound.recv_timeout(TEST_TIMEOUT).expect("a started entry");
        Self { bound, stop, thread: Some(thread) }
    }

    /// Stops the entry immediately, without a release of its ledgers or its lease.
    pub(crate) fn kill(&mut self) {
        self.shut_down(Level::Immediate);
    }

    /// Stops the entry gracefully.
    pub(crate) fn stop(&mut self) {
        self.shut_down(Level::Graceful);
    }

    /// Returns a client of this entry.
    pub(crate) fn client(&self) -> Client {
        Client { channel: Channel::new(self.bound.peers) }
    }

    fn shut_down(&mut self, level: Level) {
        self.stop.raise(level);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("the entry panicked");
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.stop.raise(Level::Immediate);
    }
}

/// A client with the calls of callers and agents.
#[derive(Clone)]
pub(crate) struct Client {
    channel: Channel,
}

impl Client {
    /// Submits a job under `key`; returns its record and whether the submission created it.
    pub(crate) async fn submit(&self, key: &str, spec: &Spec) -> Result<(Record, bool), Problem> {
        let id = id::derive(&spec.caller, key, LEDGERS).to_string();
        let spec = serde_json::to_string(spec).expect("a specification");
        let request = proto::SubmitRequest { id, spec, hops: 0 };
        let reply = self.scheduler().submit_job(request).await.expect("an answer").into_inner();
        let created = reply.created;
        parse(reply).map(|record| (record, created))
    }

    /// Submits a job under `key` repeatedly until it is recorded.
    pub(crate) async fn submit_until_recorded(&self, key: &str, spec: &Spec) -> (Record, bool) {
        let started = Instant::now();
        loop {
            match self.submit(key, spec).await {
                Ok(submitted) => return submitted,
                Err(problem) if started.elapsed() > TEST_TIMEOUT => panic!("{problem:?}"),
                Err(_) => monoio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }

    pub(crate) async fn read(&self, id: &Name) -> Result<Record, Problem> {
        let request = proto::JobRequest { id: id.to_string(), hops: 0 };
        parse(self.scheduler().read_job(request).await.expect("an answer").into_inner())
    }

    pub(crate) async fn cancel(&self, id: &Name) -> Result<Record, Problem> {
        let request = proto::JobRequest { id: id.to_string(), hops: 0 };
        parse(self.scheduler().cancel_job(request).await.expect("an answer").into_inner())
    }

    /// Polls a job until its state is `state`.
    pub(crate) async fn wait_for_state(&self, id: &Name, state: &str) -> Record {
        loop {
            if let Ok(record) = self.read(id).await
                && record.state.as_str() == state
            {
                return record;
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn scheduler(&self) -> SchedulerClient<Channel> {
        SchedulerClient::with_origin(self.channel.clone(), self.channel.origin())
    }
}

fn parse(reply: proto::JobReply) -> Result<Record, Problem> {
    if reply.problem.is_empty() {
        return Ok(serde_json::from_str(&reply.record).expect("a record"));
    }
    Err(serde_json::from_str(&reply.problem).expect("a problem"))
}

/// Returns a job of `caller` that needs one slot.
pub(crate) fn job(caller: &str) -> Spec {
    Spec {
        caller: caller.into(),
        kind: "render".into(),
        resources: Bundle { slots: 1, ..Bundle::default() },
        declared_run_ms: 10,
        idempotent: false,
        priority: 0,
        payload: "pattern".to_owned(),
    }
}

/// A fake agent with its worker. Reports to one entry and keeps the received grants.
pub(crate) struct Agent {
    client: Client,
    request: proto::ReportRequest,
    /// The received grants, in order.
    pub(crate) granted: Vec<proto::Grant>,
}

impl Agent {
    pub(crate) fn new(name: &str, client: Client) -> Self {
        let capacity = Bundle { slots: 4, ..Bundle::default() };
        let load =
            proto::Load { batch_room: Some(capacity.into()), slots: 4, ..Default::default() };
        let request = proto::ReportRequest {
            worker: name.to_owned(),
            domain: "here".to_owned(),
            address: "127.0.0.1:9".to_owned(),
            kinds: vec!["render".to_owned()],
            incarnation: 1,
            boot: 1,
            capacity: Some(capacity.into()),
            load: Some(load),
            ..Default::default()
        };
        Self { client, request, granted: Vec::new() }
    }

    /// Reports to the entry of `client` from now on.
    pub(crate) fn switch_to(&mut self, client: Client) {
        self.client = client;
        self.request.sequence = 0;
    }

    /// Reports once, and applies the grants and settled tasks of the reply.
    pub(crate) async fn report(&mut self) -> proto::ReportReply {
        self.request.sequence += 1;
        let reply = self.client.scheduler().report(self.request.clone()).await;
        let reply = reply.expect("an answer").into_inner();
        monoio::time::sleep(POLL_INTERVAL).await;
        for grant in &reply.grants {
            let key = grant.key.clone();
            let phase = proto::TaskPhase::Running.into();
            self.request.tasks.push(proto::TaskStatus { key, phase, ..Default::default() });
            self.granted.push(grant.clone());
        }
        self.request
            .tasks
            .retain(|task| !reply.settled.iter().any(|settled| task.key.as_ref() == Some(settled)));
        self.request.epochs.clone_from(&reply.owned);
        reply
    }

    /// Reports until the agent holds `count` tasks.
    pub(crate) async fn report_until_holding(&mut self, count: usize) {
        while self.request.tasks.len() != count {
            self.report().await;
        }
    }

    /// Sets the phase and the checkpoint of every held task.
    pub(crate) fn set_phase(&mut self, phase: proto::TaskPhase, checkpoint: &str) {
        for task in &mut self.request.tasks {
            task.phase = phase.into();
            task.checkpoint = checkpoint.to_owned();
        }
    }

    /// Simulates a restart of the worker, which loses all tasks.
    pub(crate) fn reboot(&mut self) {
        self.request.boot += 1;
        self.request.tasks.clear();
    }
}
