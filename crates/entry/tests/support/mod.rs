//! A running entry with simple fake agents.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use bytes::Bytes;
use futures_channel::oneshot;
use futures_util::future::LocalBoxFuture;
use http::{Request, Response};
use monoio::net::TcpListener;
use shallotflow_entry::{Bound, Settings};
use shallotflow_runtime::executor;
use shallotflow_runtime::stop::{Level, Stop};
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::gate::Gate;
use shallotflow_wire::http::limits::Limits;
use shallotflow_wire::http::pool::Pool;
use shallotflow_wire::http::server::{Handler, serve};
use shallotflow_wire::proto;
use shallotflow_wire::proto::scheduler_client::SchedulerClient;
use shallotflow_wire::rpc::Channel;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Far longer than any test takes; only ends a test that hangs.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// An entry that runs on the test's thread.
pub(crate) struct Entry {
    pub(crate) bound: Bound,
    pub(crate) stop: Stop,
    pub(crate) ended: Cell<Option<oneshot::Receiver<()>>>,
    pool: Pool,
}

/// Returns settings under which no target expires during a test.
pub(crate) fn settings() -> Settings {
    Settings { beat: TEST_TIMEOUT, linger: Duration::from_millis(50), ..Settings::default() }
}

/// Runs `test` with an entry that uses `settings`.
pub(crate) fn with_entry(settings: Settings, test: impl AsyncFnOnce(&Entry)) {
    run(async { test(&Entry::start(settings).await).await });
}

/// Runs `test` on its own runtime, within [`TEST_TIMEOUT`].
pub(crate) fn run(test: impl Future<Output = ()>) {
    executor::run(async {
        let ended = monoio::time::timeout(TEST_TIMEOUT, test).await;
        ended.expect("the test timed out");
    })
    .expect("a runtime");
}

impl Entry {
    /// Starts an entry and waits until it listens.
    pub(crate) async fn start(settings: Settings) -> Self {
        let stop = Stop::default();
        let (ready, bound) = oneshot::channel();
        let (end, ended) = oneshot::channel();
        let signal = stop.clone();
        monoio::spawn(async move {
            let ready = |bound| {
                let _ = ready.send(bound);
            };
            shallotflow_entry::run(settings, signal, ready).await.expect("the entry failed");
            let _ = end.send(());
        });
        let bound = bound.await.expect("a started entry");
        Self { bound, stop, ended: Cell::new(Some(ended)), pool: pool() }
    }

    /// Sends a request and reads the complete response.
    pub(crate) async fn send(&self, request: http::request::Builder, body: &'static str) -> Answer {
        self.send_body(request, Body::from(body)).await
    }

    /// Sends a request with any body and reads the complete response.
    pub(crate) async fn send_body(&self, request: http::request::Builder, body: Body) -> Answer {
        let request = request.body(body).expect("a request");
        let address = self.bound.callers;
        let mut connection = self.pool.take(address).await.expect("a connection");
        let response = connection.send(request).await.expect("a response");
        let (head, body) = response.into_parts();
        let body = body.collect(64 << 20).await.expect("a whole body");
        self.pool.give_back(address, connection);
        Answer { head, body }
    }

    /// Returns a client of the peers' service.
    pub(crate) fn peer(&self) -> SchedulerClient<Channel> {
        let channel = Channel::new(self.bound.peers);
        let origin = channel.origin();
        SchedulerClient::with_origin(channel, origin)
    }

    /// Requests a graceful stop and waits until the entry has stopped.
    pub(crate) async fn end(&self) {
        self.stop.raise(Level::Graceful);
        let ended = self.ended.take().expect("an entry that was not ended before");
        ended.await.expect("a graceful end");
    }
}

/// Returns a connection pool with a long connect timeout.
pub(crate) fn pool() -> Pool {
    Pool::new(Limits::default(), TEST_TIMEOUT, 8)
}

/// A complete response.
pub(crate) struct Answer {
    pub(crate) head: http::response::Parts,
    pub(crate) body: Bytes,
}

impl Answer {
    pub(crate) fn status(&self) -> u16 {
        self.head.status.as_u16()
    }

    pub(crate) fn header(&self, name: &str) -> &str {
        self.head.headers.get(name).map_or("", |value| value.to_str().expect("a text header"))
    }

    pub(crate) fn problem(&self) -> shallotflow_core::problem::Problem {
        assert_eq!(self.header("content-type"), "application/problem+json");
        serde_json::from_slice(&self.body).expect("a problem document")
    }
}

/// Handles a request at a fake agent; the number counts requests from 1.
pub(crate) type Behavior = dyn Fn(u64, Request<Body>) -> LocalBoxFuture<'static, Response<Body>>;

/// A fake agent that answers with a [`Behavior`] and reports on demand.
pub(crate) struct Agent {
    pub(crate) report: RefCell<proto::ReportRequest>,
    pub(crate) gate: Gate,
    pub(crate) calls: Rc<Cell<u64>>,
}

struct Server {
    calls: Rc<Cell<u64>>,
    behavior: Rc<Behavior>,
}

impl Handler for Server {
    fn call(
        &self,
        request: Request<Body>,
        _: SocketAddr,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        self.calls.set(self.calls.get() + 1);
        (self.behavior)(self.calls.get(), request)
    }
}

impl Agent {
    /// Starts a fake agent that serves `kind`; it is announced by its first report.
    pub(crate) fn start(
        worker: &str,
        kind: &str,
        behavior: impl Fn(u64, Request<Body>) -> LocalBoxFuture<'static, Response<Body>> + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let gate = Gate::default();
        let calls = Rc::new(Cell::new(0));
        let fake = Server { calls: calls.clone(), behavior: Rc::new(behavior) };
        monoio::spawn(serve(listener, Rc::new(fake), Limits::default(), gate.clone()));
        let load = proto::Load { slots: 8, service_us: 1_000, ..Default::default() };
        let report = proto::ReportRequest {
            worker: worker.to_owned(),
            domain: "default".to_owned(),
            address: address.to_string(),
            kinds: vec![kind.to_owned()],
            incarnation: 1,
            boot: 1,
            capacity: Some(proto::Bundle {
                slots: 8,
                connections: 64,
                millicores: 64_000,
                memory_mib: 250_000,
                accelerators: 0,
            }),
            load: Some(load),
            ..Default::default()
        };
        Self { report: RefCell::new(report), gate, calls }
    }

    /// Reports to `entry` with the next sequence number.
    pub(crate) async fn report(&self, entry: &Entry) -> proto::ReportReply {
        self.report.borrow_mut().sequence += 1;
        let report = self.report.borrow().clone();
        entry.peer().report(report).await.expect("an accepted report").into_inner()
    }
}

/// Answers with the body of the request.
pub(crate) fn echo(_: u64, request: Request<Body>) -> LocalBoxFuture<'static, Response<Body>> {
    Box::pin(async move { Response::new(request.into_body()) })
}

/// Refuses a request as overloaded, as an agent does.
pub(crate) fn refuse(_: u64, _: Request<Body>) -> LocalBoxFuture<'static, Response<Body>> {
    use shallotflow_core::problem::{Code, Problem};
    let problem = Problem::not_run(Code::Overloaded, "no slot is free");
    Box::pin(async move { shallotflow_entry::callers::answer::problem(&problem) })
}
