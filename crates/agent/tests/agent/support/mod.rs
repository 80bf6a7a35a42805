//! An agent next to a stand-in worker, with an entry that is scripted by the test.

mod entry;

pub(crate) use entry::{Entry, Script};

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use shallotflow_agent as agent;
use shallotflow_core::resources::Bundle;
use shallotflow_core::settings::agent::Settings as AgentSettings;
use shallotflow_core::settings::standin::Settings as WorkerSettings;
use shallotflow_runtime::stop::{Level, Stop};
use shallotflow_standin as standin;
use shallotflow_standin::audit::Audit;
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::limits::Limits;
use shallotflow_wire::http::pool::Pool;
use shallotflow_wire::proto;
use std::net::SocketAddr;
use std::sync::mpsc::{Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Runs `test` on the runtime that processes use.
pub(crate) fn run(test: impl Future<Output = ()>) {
    shallotflow_runtime::executor::run(test).expect("a runtime");
}

/// Waits until `done` returns true; panics after the timeout.
pub(crate) async fn until(what: &str, mut done: impl FnMut() -> bool) {
    let waiting = async {
        while !done() {
            monoio::time::sleep(POLL_INTERVAL).await;
        }
    };
    monoio::time::timeout(TIMEOUT, waiting)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting for {what}"));
}

/// A process that runs in its own thread with its own runtime.
struct Process {
    stop: Stop,
    thread: Option<JoinHandle<anyhow::Result<()>>>,
}

impl Process {
    /// Starts a process and waits until it listens.
    fn start<B, F>(main: impl FnOnce(Stop, Sender<B>) -> F + Send + 'static) -> (Self, B)
    where
        B: Send + 'static,
        F: Future<Output = anyhow::Result<()>>,
    {
        let stop = Stop::default();
        let (sender, receiver) = channel();
        let process_stop = stop.clone();
        let thread = std::thread::spawn(move || {
            shallotflow_runtime::executor::run(main(process_stop, sender)).expect("a runtime")
        });
        let bound = receiver.recv_timeout(TIMEOUT).expect("a process that listens");
        (Self { stop, thread: Some(thread) }, bound)
    }

    /// Raises `level` on the process and waits until it ends.
    async fn end(&mut self, level: Level) -> anyhow::Result<()> {
        self.stop.raise(level);
        let thread = self.thread.take().expect("a process that runs");
        until("the end of a process", || thread.is_finished()).await;
        thread.join().expect("no panic")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.stop.raise(Level::Immediate);
    }
}

/// A stand-in worker and the record of the events on it.
pub(crate) struct Worker {
    pub(crate) audit: Audit,
    pub(crate) settings: WorkerSettings,
    process: Process,
}

impl Worker {
    pub(crate) fn start(settings: WorkerSettings, audit: Audit) -> Self {
        let (mut bound_settings, shared_audit) = (settings.clone(), audit.clone());
        let (process, bound) = Process::start(move |stop, ready| {
            let handles = standin::Handles { audit: shared_audit, ..standin::Handles::default() };
            standin::run_with(settings, handles, stop, move |bound| {
                ready.send(bound).expect("a waiting test");
            })
        });
        bound_settings.control_listen = bound.control;
        bound_settings.target_listen = bound.target;
        Self { audit, settings: bound_settings, process }
    }

    /// Ends the worker at once, with all tasks and requests on it.
    pub(crate) async fn kill(&mut self) {
        self.process.end(Level::Immediate).await.expect("clean shutdown");
    }

    /// Restarts the worker at the same addresses.
    pub(crate) async fn restart(&mut self) {
        self.kill().await;
        *self = Self::start(self.settings.clone(), self.audit.clone());
    }
}

pub(crate) fn worker_settings() -> WorkerSettings {
    let capacity =
        Bundle { slots: 2, connections: 8, millicores: 4_000, memory_mib: 1_000, accelerators: 0 };
    WorkerSettings {
        capacity,
        kinds: vec!["preview".into(), "render".into()],
        ..WorkerSettings::default()
    }
}

/// A running agent.
pub(crate) struct Agent {
    pub(crate) address: SocketAddr,
    process: Process,
}

impl Agent {
    /// Starts an agent of `worker` that reports to `entry`.
    pub(crate) fn start(worker: &Worker, entry: &Entry) -> Self {
        let settings = AgentSettings {
            entries: vec![entry.address],
            control: worker.settings.control_listen.expect("a control address"),
            target: worker.settings.target_listen.expect("a target address"),
            drain: Duration::from_secs(10),
            ..AgentSettings::default()
        };
        let (process, bound) = Process::start(move |stop, ready| {
            agent::run(settings, stop, move |bound: agent::Bound| {
                ready.send(bound).expect("a waiting test");
            })
        });
        Self { address: bound.requests, process }
    }

    /// Stops the agent gracefully.
    pub(crate) async fn leave(&mut self) -> anyhow::Result<()> {
        self.process.end(Level::Graceful).await
    }

    /// Ends the agent at once.
    pub(crate) async fn kill(&mut self) -> anyhow::Result<()> {
        self.process.end(Level::Immediate).await
    }

    /// Waits until the agent ends by itself.
    pub(crate) async fn ended(&mut self) -> anyhow::Result<()> {
        self.process.end(Level::Run).await
    }

    /// Sends a quick request and reads the complete answer.
    pub(crate) async fn request(&self, body: &str, headers: &[(&'static str, &str)]) -> Answer {
        request(self.address, body, headers).await
    }
}

/// Sends a quick request to the agent at `address` and reads the complete answer.
pub(crate) async fn request(
    address: SocketAddr,
    body: &str,
    headers: &[(&'static str, &str)],
) -> Answer {
    let pool = Pool::new(Limits::default(), TIMEOUT, 1);
    let mut request = Request::post("/run/preview");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Body::from(body.to_owned())).expect("a request");
    let mut connection = pool.take(address).await.expect("a connection");
    let response = connection.send(request).await.expect("an answer");
    let (head, body) = response.into_parts();
    let body = body.collect(1 << 20).await.expect("a complete answer");
    Answer { status: head.status, headers: head.headers, body }
}

/// An answer with its complete body.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Answer {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// A grant for a task of `job` that runs for `run_ms`.
pub(crate) fn grant(job: &str, run_ms: u64) -> proto::Grant {
    proto::Grant {
        key: Some(proto::TaskKey { ledger: 1, job: job.to_owned(), attempt: 1 }),
        epoch: 7,
        caller: "clerk".to_owned(),
        kind: "render".to_owned(),
        resources: Some(proto::Bundle { slots: 1, memory_mib: 100, ..proto::Bundle::default() }),
        expected_run_ms: run_ms,
        payload: format!("{{\"run_ms\":{run_ms}}}"),
        ..proto::Grant::default()
    }
}
