//! The HTTP interface for callers, the same as that of an entry.

use super::jobs::Jobs;
use super::worker::{Address, Task, Worker};
use futures_util::future::LocalBoxFuture;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use monoio::net::TcpListener;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Deserialize;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_runtime::stop::{Level, Stop};
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::gate::Gate;
use shallotflow_wire::http::limits::Limits;
use shallotflow_wire::http::pool::Pool;
use shallotflow_wire::http::server::{Handler, serve};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_CONNECTIONS: usize = 64;
const JOBS: &str = "/jobs";

/// The addresses of the scheduler.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// Address for callers.
    pub callers: SocketAddr,
}

/// Runs the scheduler for `workers` until `stop` is raised.
///
/// # Errors
///
/// Fails when the system cannot provide a port.
pub async fn run(
    workers: Vec<Address>,
    seed: u64,
    stop: Stop,
    ready: impl FnOnce(Bound),
) -> anyhow::Result<()> {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
    let callers = listener.local_addr()?;
    let workers: Vec<_> = workers.iter().map(Worker::new).collect();
    for worker in &workers {
        monoio::spawn(worker.clone().track_tasks());
    }
    let server = Server {
        workers: workers.into(),
        rng: Rc::new(RefCell::new(SmallRng::seed_from_u64(seed))),
        pool: Pool::new(Limits::default(), CONNECT_TIMEOUT, IDLE_CONNECTIONS),
        jobs: Jobs::default(),
    };
    ready(Bound { callers });
    monoio::select! {
        () = serve(listener, Rc::new(server), Limits::default(), Gate::default()) => {}
        () = stop.wait(Level::Graceful) => {}
    }
    Ok(())
}

#[derive(Clone)]
struct Server {
    workers: Rc<[Worker]>,
    rng: Rc<RefCell<SmallRng>>,
    pool: Pool,
    jobs: Jobs,
}

/// The JSON body of a submission.
#[derive(Debug, Deserialize)]
struct Submission {
    kind: Name,
    resources: Bundle,
    idempotent: bool,
    payload: String,
}

impl Handler for Server {
    fn call(
        &self,
        request: Request<Body>,
        _: SocketAddr,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        let server = self.clone();
        Box::pin(async move {
            let path = request.uri().path().to_owned();
            match (request.method(), path.strip_prefix(JOBS)) {
                (&Method::POST, Some("")) => server.submit(request).await,
                (&Method::GET, Some(key)) => server.state(key.trim_start_matches('/')),
                _ => server.forward(request).await,
            }
        })
    }
}

impl Server {
    async fn forward(&self, request: Request<Body>) -> Response<Body> {
        let worker = self.choose_worker();
        let (head, body) = request.into_parts();
        let Ok(body) = body.collect(MAX_BODY_BYTES).await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let Ok(_slot) = worker.slots.acquire().await else {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        };
        let request = Request::from_parts(head, Body::Full(body));
        let answer = self.exchange(worker.target, request).await;
        answer.unwrap_or_else(|_| status(StatusCode::BAD_GATEWAY))
    }

    async fn exchange(
        &self,
        target: SocketAddr,
        request: Request<Body>,
    ) -> shallotflow_wire::http::Result<Response<Body>> {
        Ok(self.pool.exchange(target, request, MAX_BODY_BYTES).await?.map(Body::Full))
    }

    async fn submit(&self, request: Request<Body>) -> Response<Body> {
        let Some(key) = key(request.headers()) else { return status(StatusCode::BAD_REQUEST) };
        let Ok(body) = request.into_body().collect(MAX_BODY_BYTES).await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let Ok(submission) = serde_json::from_slice::<Submission>(&body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let task = Task {
            id: key.as_str().into(),
            kind: submission.kind,
            resources: submission.resources,
            idempotent: submission.idempotent,
            payload: submission.payload,
        };
        self.jobs.submit(&key, task, self.choose_worker());
        let mut response = status(StatusCode::ACCEPTED);
        if let Ok(location) = HeaderValue::from_str(&format!("{JOBS}/{key}")) {
            response.headers_mut().insert("location", location);
        }
        response
    }

    fn state(&self, key: &str) -> Response<Body> {
        match self.jobs.state(key) {
            Some(state) => {
                Response::new(Body::from(format!("{{\"state\":{{\"state\":\"{state}\"}}}}")))
            }
            None => status(StatusCode::NOT_FOUND),
        }
    }

    fn choose_worker(&self) -> Worker {
        let index = self.rng.borrow_mut().random_range(0..self.workers.len());
        self.workers[index].clone()
    }
}

fn key(headers: &HeaderMap) -> Option<String> {
    Some(headers.get("idempotency-key")?.to_str().ok()?.to_owned())
}

fn status(code: StatusCode) -> Response<Body> {
    let mut response = Response::new(Body::Empty);
    *response.status_mut() = code;
    response
}
