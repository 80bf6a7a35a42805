//! The target's HTTP interface.

use crate::worker::{Request as Admission, Worker};
use futures_util::future::LocalBoxFuture;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::{Clock, Monotonic};
use shallotflow_wire::control::INCARNATION_HEADER;
use shallotflow_wire::header;
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::server::Handler;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
const RUN_PREFIX: &str = "/run/";
/// Run time of the request without interference, in milliseconds; for tests.
const RUN_MS_HEADER: &str = "standin-run-ms";

/// Start of the request by the monotonic clock, in microseconds; for tests within one process.
const STARTED_HEADER: &str = "standin-started-us";

/// Answers `POST /run/<kind>` by echoing the request body.
pub struct Target {
    worker: Worker,
    /// Number of requests so far; identifies those without a ticket, which bypass the agent.
    direct_requests: Rc<Cell<u64>>,
}

impl Target {
    /// The target of `worker`.
    pub fn new(worker: Worker) -> Self {
        Self { worker, direct_requests: Rc::default() }
    }
}

impl Handler for Target {
    fn call(
        &self,
        request: Request<Body>,
        _: SocketAddr,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        let worker = self.worker.clone();
        self.direct_requests.set(self.direct_requests.get() + 1);
        let direct = self.direct_requests.get();
        Box::pin(run(worker, request, direct))
    }
}

async fn run(worker: Worker, request: Request<Body>, direct: u64) -> Response<Body> {
    let (head, body) = request.into_parts();
    let Some(kind) = head.uri.path().strip_prefix(RUN_PREFIX) else {
        return refuse(StatusCode::NOT_FOUND, "use POST /run/<kind>");
    };
    let kind = Name::from(kind);
    let Ok(body) = body.collect(MAX_BODY_BYTES).await else {
        return refuse(StatusCode::BAD_REQUEST, "the body is incomplete; send the complete body");
    };
    let headers = &head.headers;
    let ticket = header_text(headers, INCARNATION_HEADER);
    let incarnation = ticket.and_then(|ticket| ticket.split('.').next()?.parse().ok());
    let id = ticket.map_or_else(|| format!("direct.{direct}").into(), Name::from);
    let admission = Admission {
        id,
        request_id: header_text(headers, header::REQUEST_ID).map(Name::from),
        kind,
        resources: header_text(headers, Bundle::HEADER)
            .and_then(|text| text.parse().ok())
            .unwrap_or_default(),
        idempotent: header_text(headers, header::IDEMPOTENT) == Some("true"),
        run: header_text(headers, RUN_MS_HEADER)
            .and_then(|text| text.parse().ok())
            .map(Duration::from_millis),
    };
    let started = Monotonic.now();
    if let Err(fault) = worker.run_request(incarnation, admission).await {
        let mut response = refuse(StatusCode::CONFLICT, &fault.to_string());
        response.headers_mut().insert(header::OUTCOME, HeaderValue::from_static("not-run"));
        return response;
    }
    let mut response = Response::new(Body::Full(body));
    response.headers_mut().insert(STARTED_HEADER, started.as_micros().into());
    if let Some(id) = headers.get(header::REQUEST_ID) {
        response.headers_mut().insert(header::REQUEST_ID, id.clone());
    }
    response
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn refuse(code: StatusCode, reason: &str) -> Response<Body> {
    let mut response = Response::new(Body::from(reason.to_owned()));
    *response.status_mut() = code;
    response
}
