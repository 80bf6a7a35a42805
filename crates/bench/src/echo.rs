//! An echo server in place of the whole system, to measure the load generator alone.
//!
//! It answers each request with its own body after the requested run time. Jobs end when their run
//! time has passed; any number run concurrently.

use futures_util::future::LocalBoxFuture;
use http::{Method, Request, Response, StatusCode};
use monoio::net::TcpListener;
use serde::Deserialize;
use shallotflow_runtime::executor;
use shallotflow_runtime::stop::{Level, Stop};
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::gate::Gate;
use shallotflow_wire::http::limits::Limits;
use shallotflow_wire::http::server::{Handler, serve};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
const JOBS: &str = "/jobs";

/// A running echo server on its own thread.
pub struct Echo {
    /// Its address.
    pub address: SocketAddr,
    stop: Stop,
    thread: JoinHandle<std::io::Result<std::io::Result<()>>>,
}

impl Echo {
    /// Starts the server on a port assigned by the system.
    ///
    /// # Errors
    ///
    /// Fails when the system cannot provide a thread, a runtime or a port.
    pub fn start() -> anyhow::Result<Self> {
        let stop = Stop::default();
        let (bound, address) = mpsc::channel();
        let thread_stop = stop.clone();
        let thread = std::thread::Builder::new()
            .name("echo".to_owned())
            .spawn(move || executor::run(listen(bound, thread_stop)))?;
        Ok(Self { address: address.recv()?, stop, thread })
    }

    /// Stops the server and waits for its end.
    ///
    /// # Errors
    ///
    /// Fails when the server ended early, with the cause.
    pub fn stop(self) -> anyhow::Result<()> {
        self.stop.raise(Level::Immediate);
        self.thread.join().map_err(|_| anyhow::anyhow!("the echo server panicked"))???;
        Ok(())
    }
}

async fn listen(bound: mpsc::Sender<SocketAddr>, stop: Stop) -> std::io::Result<()> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    // The receiver is alive: it waits for this message.
    let _ = bound.send(listener.local_addr()?);
    let limits = Limits { connections: 100_000, ..Limits::default() };
    let serving = serve(listener, Rc::new(Service::default()), limits, Gate::default());
    monoio::select! {
        () = serving => {}
        () = stop.wait(Level::Immediate) => {}
    }
    Ok(())
}

#[derive(Default)]
struct Service {
    jobs: Rc<RefCell<BTreeMap<String, Instant>>>,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Payload {
    run_ms: u64,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct Submission {
    payload: String,
}

impl Handler for Service {
    fn call(
        &self,
        request: Request<Body>,
        _: SocketAddr,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        let jobs = self.jobs.clone();
        Box::pin(async move {
            let path = request.uri().path().to_owned();
            match (request.method(), path.strip_prefix(JOBS)) {
                (&Method::POST, Some("")) => submit(request, &jobs).await,
                (&Method::GET, Some(id)) => state(id.trim_start_matches('/'), &jobs),
                _ => echo(request).await,
            }
        })
    }
}

async fn echo(request: Request<Body>) -> Response<Body> {
    let run_ms = header(&request, "standin-run-ms").and_then(|text| text.parse().ok());
    let Ok(body) = request.into_body().collect(MAX_BODY_BYTES).await else {
        return status(StatusCode::BAD_REQUEST);
    };
    monoio::time::sleep(Duration::from_millis(run_ms.unwrap_or_default())).await;
    Response::new(Body::Full(body))
}

async fn submit(
    request: Request<Body>,
    jobs: &RefCell<BTreeMap<String, Instant>>,
) -> Response<Body> {
    let Some(key) = header(&request, "idempotency-key") else {
        return status(StatusCode::BAD_REQUEST);
    };
    let Ok(body) = request.into_body().collect(MAX_BODY_BYTES).await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let submission: Submission = serde_json::from_slice(&body).unwrap_or_default();
    let payload: Payload = serde_json::from_str(&submission.payload).unwrap_or_default();
    let end = Instant::now() + Duration::from_millis(payload.run_ms);
    jobs.borrow_mut().entry(key.clone()).or_insert(end);
    let mut response = status(StatusCode::ACCEPTED);
    if let Ok(location) = format!("{JOBS}/{key}").parse() {
        response.headers_mut().insert("location", location);
    }
    response
}

fn state(id: &str, jobs: &RefCell<BTreeMap<String, Instant>>) -> Response<Body> {
    let Some(end) = jobs.borrow().get(id).copied() else { return status(StatusCode::NOT_FOUND) };
    let state = if Instant::now() >= end { "done" } else { "started" };
    Response::new(Body::from(format!("{{\"state\":{{\"state\":\"{state}\"}}}}")))
}

fn header(request: &Request<Body>, name: &str) -> Option<String> {
    Some(request.headers().get(name)?.to_str().ok()?.to_owned())
}

fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::Empty);
    *response.status_mut() = code;
    response
}
