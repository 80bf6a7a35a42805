//! Serves requests from entries.

use super::forward::forward;
use super::head::Head;
use super::load::load;
use super::{Result, reservation};
use crate::agent::Agent;
use futures_util::future::LocalBoxFuture;
use http::{HeaderValue, Request, Response, StatusCode};
use shallotflow_core::metric;
use shallotflow_core::outcome::Outcome;
use shallotflow_core::problem::{Code, Problem};
use shallotflow_core::time::{Clock, Monotonic};
use shallotflow_policy::admission::{Id, Refusal};
use shallotflow_wire::header;
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::server::Handler;
use std::net::SocketAddr;

/// Bodies up to this length are read before a slot is requested.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// The HTTP handler of requests from entries.
pub(crate) struct Server {
    agent: Agent,
}

impl Server {
    pub(crate) fn new(agent: Agent) -> Self {
        Self { agent }
    }
}

impl Handler for Server {
    fn call(
        &self,
        request: Request<Body>,
        _: SocketAddr,
    ) -> LocalBoxFuture<'static, Response<Body>> {
        let agent = self.agent.clone();
        Box::pin(async move {
            let mut response = answer(&agent, request).await.unwrap_or_else(|problem| {
                let reason = problem.code.as_str();
                metrics::counter!(metric::REFUSALS, "reason" => reason).increment(1);
                refusal_response(&problem)
            });
            add_headers(&agent, &mut response);
            response
        })
    }
}

async fn answer(agent: &Agent, request: Request<Body>) -> Result<Response<Body>> {
    let (parts, body) = request.into_parts();
    let head = Head::read(&parts, Monotonic.now())?;
    check_kind(agent, &head)?;
    let body = buffer(body).await?;
    let arrived = Monotonic.now();
    let id = admit(agent, &head).await?;
    let waited = Monotonic.now().since(arrived).as_secs_f64();
    metrics::histogram!(metric::HEAD_OF_LINE_WAIT, "class" => head.class.as_str()).record(waited);
    agent.state_mut().colocation.request_kinds.insert(id, head.kind.clone());
    forward(agent, id, &head, Request::from_parts(parts, body)).await
}

fn check_kind(agent: &Agent, head: &Head) -> Result<()> {
    let state = agent.state();
    let Some(attachment) = &state.attachment else {
        let detail = "the agent is not attached to its worker yet";
        return Err(Problem::not_run(Code::Overloaded, detail));
    };
    if attachment.kinds.contains(&head.kind) {
        return Ok(());
    }
    let detail = format!("{} does not serve kind {:?}", agent.settings().worker, head.kind);
    Err(Problem::not_run(Code::UnknownKind, detail))
}

/// Buffers a short body, so that a slow sender occupies no slot.
async fn buffer(body: Body) -> Result<Body> {
    if !matches!(body.length(), Some(1..=MAX_BUFFERED_BYTES)) {
        return Ok(body);
    }
    let incomplete = |error: shallotflow_wire::http::Error| {
        Problem::not_run(Code::Malformed, format!("the request body ended early: {error}"))
    };
    let bytes = body.collect(MAX_BUFFERED_BYTES as usize).await.map_err(incomplete)?;
    Ok(Body::Full(bytes))
}

/// Waits for admission until the deadline.
async fn admit(agent: &Agent, head: &Head) -> Result<Id> {
    let enqueued = agent.offer(head.class, &head.kind, head.need, head.deadline);
    let (id, started) = enqueued.map_err(|refusal| problem(&refusal))?;
    let mut waiting = reservation::Waiting::new(agent, head, id);
    let remaining = head.deadline.remaining(Monotonic.now());
    let decision = monoio::time::timeout(remaining, started).await;
    match decision {
        Ok(Ok(Ok(()))) => {
            waiting.disarm();
            Ok(id)
        }
        Ok(Ok(Err(refusal))) => {
            waiting.disarm();
            Err(problem(&refusal))
        }
        _ => Err(problem(&Refusal::DeadlinePassed { deadline: head.deadline })),
    }
}

fn problem(refusal: &Refusal) -> Problem {
    let code = match refusal {
        Refusal::NeverFits { .. } => Code::NeverFits,
        Refusal::QueueFull { .. } | Refusal::TooLate { .. } => Code::Overloaded,
        Refusal::DeadlinePassed { .. } => Code::DeadlinePassed,
        Refusal::Leaving => Code::Leaving,
    };
    Problem::not_run(code, refusal.to_string())
}

fn refusal_response(problem: &Problem) -> Response<Body> {
    let text = serde_json::to_vec(problem).unwrap_or_default();
    let mut response = Response::new(Body::Full(text.into()));
    *response.status_mut() =
        StatusCode::from_u16(problem.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    let media_type = HeaderValue::from_static(Problem::MEDIA_TYPE);
    headers.insert(http::header::CONTENT_TYPE, media_type);
    headers.insert(header::OUTCOME, HeaderValue::from_static(problem.outcome.as_str()));
    response
}

/// Adds the load, the worker's name and, where it is absent, the outcome.
fn add_headers(agent: &Agent, response: &mut Response<Body>) {
    let load = load(&agent.state(), Monotonic.now());
    let load = format!(
        "{},{},{},{},{}",
        load.running, load.queued, load.slots, load.service_us, load.disturbance_milli
    );
    let headers = response.headers_mut();
    let mut set = |name: &'static str, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(name, value);
        }
    };
    set(header::LOAD, &load);
    set(header::WORKER, &agent.settings().worker);
    headers.entry(header::OUTCOME).or_insert(HeaderValue::from_static(Outcome::Done.as_str()));
}
