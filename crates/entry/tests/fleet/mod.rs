//! Entries on their own threads, with a store stand-in and fakes of agents.

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

/// Far beyond any test; only stops a hang.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);
const LEDGERS: u32 = 4;
const PAUSE: Duration = Duration::from_millis(20);

/// The store of a test, on the test's own runtime.
pub(crate) struct Store {
    pub(crate) address: SocketAddr,
    pub(crate) faults: Faults,
    pub(crate) counters: Counters,
}

/// An entry on a thread of its own; dropping it kills the entry.
pub(crate) struct Entry {
    pub(crate) bound: Bound,
    stop: Stop,
    thread: Option<JoinHandle<()>>,
}

/// Runs `test` with a store.
pub(crate) fn run(test: impl AsyncFnOnce(Store)) {
    executor::run(async {
        let (faults, counters) = (Faults::default(), Counters::default());
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let server = Server::new(faults.clone(), counters.clone(), 7);
        monoio::spawn(serve(listener, server, Rc::new(Event::new())));
        let test = test(Store { address, faults, counters });
        monoio::time::timeout(PATIENCE, test).await.expect("the test ends in time");
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
            let ready = move |bound| ready.send(bound).expect("a waiting test");
            let run = shallotflow_entry::run(settings, signal, ready);
            executor::run(run).expect("a runtime").expect("an entry that runs");
        });
        let bound = bound.recv_timeout(PATIENCE).expect("a started entry");
        Self { bound, stop, thread: Some(thread) }
    }

    /// Ends the entry at once; it gives nothing back.
    pub(crate) fn kill(&mut self) {
        self.end(Level::Immediate);
    }

    /// Stops the entry gracefully.
    pub(crate) fn leave(&mut self) {
        self.end(Level::Graceful);
    }

    /// A client for this entry.
    pub(crate) fn client(&self) -> Client {
        Client { channel: Channel::new(self.bound.peers) }
    }

    fn end(&mut self, level: Level) {
        self.stop.raise(level);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("an entry that ended well");
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.stop.raise(Level::Immediate);
    }
}

/// Calls of callers and agents.
#[derive(Clone)]
pub(crate) struct Client {
    channel: Channel,
}

impl Client {
    /// Submits a job under `key`.
    pub(crate) async fn submit(&self, key: &str, spec: &Spec) -> Result<(Record, bool), Problem> {
        let id = id::derive(&spec.caller, key, LEDGERS).to_string();
        let spec = serde_json::to_string(spec).expect("a specification");
        let request = proto::SubmitRequest { id, spec, hops: 0 };
        let reply = self.scheduler().submit_job(request).await.expect("an answer").into_inner();
        let created = reply.created;
        parse(reply).map(|record| (record, created))
    }

    /// Submits a job under `key` until it is recorded.
    pub(crate) async fn insist(&self, key: &str, spec: &Spec) -> (Record, bool) {
        let started = Instant::now();
        loop {
            match self.submit(key, spec).await {
                Ok(submitted) => return submitted,
                Err(problem) if started.elapsed() > PATIENCE => panic!("{problem:?}"),
                Err(_) => monoio::time::sleep(PAUSE).await,
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

    /// Reads a job until its state is `state`.
    pub(crate) async fn wait(&self, id: &Name, state: &str) -> Record {
        loop {
            if let Ok(record) = self.read(id).await
                && record.state.as_str() == state
            {
                return record;
            }
            monoio::time::sleep(PAUSE).await;
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

/// A job of `caller` that takes one slot.
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

/// A fake of an agent and its worker that reports to one entry and keeps what it was granted.
pub(crate) struct Agent {
    client: Client,
    request: proto::ReportRequest,
    /// Grants received, in order.
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

    /// Reports to another entry from now on.
    pub(crate) fn turn_to(&mut self, client: Client) {
        self.client = client;
        self.request.sequence = 0;
    }

    /// Reports once, and takes over what the reply says.
    pub(crate) async fn report(&mut self) -> proto::ReportReply {
        self.request.sequence += 1;
        let reply = self.client.scheduler().report(self.request.clone()).await;
        let reply = reply.expect("an answer").into_inner();
        monoio::time::sleep(PAUSE).await;
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

    /// Reports until it holds `count` tasks.
    pub(crate) async fn hold(&mut self, count: usize) {
        while self.request.tasks.len() != count {
            self.report().await;
        }
    }

    /// Puts every task that it holds in `phase`.
    pub(crate) fn set(&mut self, phase: proto::TaskPhase, checkpoint: &str) {
        for task in &mut self.request.tasks {
            task.phase = phase.into();
            task.checkpoint = checkpoint.to_owned();
        }
    }

    /// The worker restarts and loses what it held.
    pub(crate) fn reboot(&mut self) {
        self.request.boot += 1;
        self.request.tasks.clear();
    }
}
