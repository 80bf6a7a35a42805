//! One attempt of a request at one target.

use super::Request;
use super::flight::Flight;
use super::relayed::Relayed;
use crate::callers::header;
use crate::state::State;
use http::header::{CONNECTION, EXPECT, HOST, TE, TRAILER, UPGRADE};
use http::{HeaderMap, HeaderName, HeaderValue, Response};
use shallotflow_core::outcome::Outcome;
use shallotflow_core::problem::{Code, Problem};
use shallotflow_policy::route;
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::client::Connection;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

/// The largest answer that is passed on as a whole, bytes.
const WHOLE_BYTES: u64 = 32 * 1024;
const MAX_PROBLEM_BYTES: usize = 64 * 1024;
const HOP_BY_HOP: [HeaderName; 6] = [CONNECTION, EXPECT, HOST, TE, TRAILER, UPGRADE];
const KEEP_ALIVE: &str = "keep-alive";

/// An attempt that gave no answer to pass on.
#[derive(Debug)]
pub(super) struct Failure {
    /// What the caller is told if no other attempt follows.
    pub(super) problem: Problem,
    /// Whether another target may do better.
    pub(super) transient: bool,
    /// Whether the target is to blame.
    pub(super) blame: bool,
}

/// The result of an attempt.
pub(super) type Result<T> = std::result::Result<T, Failure>;

/// Sends `request` to the target at `id` and reads the answer until the deadline.
pub(super) async fn attempt(
    state: &Rc<State>,
    request: &mut Request,
    id: route::Id,
    address: SocketAddr,
) -> Result<Response<Body>> {
    let left = request.deadline.left(state.now());
    let sent = Cell::new(false);
    let exchange = exchange(state, request, id, address, &sent);
    match monoio::time::timeout(left, exchange).await {
        Ok(result) => result,
        // The connection was dropped with the exchange, so that a late answer reaches nobody.
        Err(_) => Err(timed_out(sent.get(), address)),
    }
}

async fn exchange(
    state: &Rc<State>,
    request: &mut Request,
    id: route::Id,
    address: SocketAddr,
    sent: &Cell<bool>,
) -> Result<Response<Body>> {
    let flight = Flight::start(state.clone(), id, request.ask.class);
    let mut connection = state.pool.take(address).await.map_err(|error| Failure {
        problem: Problem::not_run(Code::TargetLost, error.to_string()),
        transient: true,
        blame: true,
    })?;
    let outgoing = outgoing(state, request, address);
    sent.set(true);
    let response = connection.send(outgoing).await.map_err(|error| lost(address, &error))?;
    observe(state, id, response.headers());
    match outcome(response.headers()) {
        Outcome::Done => pass_on(state, response, connection, address, flight).await,
        Outcome::NotRun | Outcome::Unknown => Err(refused(response, address).await),
    }
}

async fn pass_on(
    state: &Rc<State>,
    response: Response<Body>,
    connection: Connection,
    address: SocketAddr,
    flight: Flight,
) -> Result<Response<Body>> {
    let (mut head, body) = response.into_parts();
    strip(&mut head.headers);
    head.headers.remove(header::LOAD);
    head.headers.insert(header::OUTCOME, HeaderValue::from_static(Outcome::Done.as_str()));
    let small = body.length().is_some_and(|length| length <= WHOLE_BYTES);
    if !small {
        let state = state.clone();
        let connection = Some(connection);
        let relayed = Relayed { state, body, connection, address, flight: Some(flight) };
        return Ok(Response::from_parts(head, Body::Source(Box::new(relayed))));
    }
    let whole = body.collect(WHOLE_BYTES as usize).await.map_err(|error| lost(address, &error))?;
    state.pool.give_back(address, connection);
    Ok(Response::from_parts(head, Body::Full(whole)))
}

fn outgoing(state: &State, request: &mut Request, address: SocketAddr) -> http::Request<Body> {
    let mut outgoing = http::Request::new(request.payload.take());
    *outgoing.method_mut() = request.head.method.clone();
    *outgoing.uri_mut() = request.head.uri.clone();
    let headers = outgoing.headers_mut();
    *headers = request.head.headers.clone();
    strip(headers);
    let left_ms = request.deadline.left(state.now()).as_millis().max(1);
    set(headers, HOST.as_str(), &address.to_string());
    set(headers, header::DEADLINE_MS, &left_ms.to_string());
    set(headers, header::REQUEST_ID, &request.id);
    set(headers, header::CALLER, &request.ask.caller);
    outgoing
}

fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn strip(headers: &mut HeaderMap) {
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
}

fn observe(state: &State, id: route::Id, headers: &HeaderMap) {
    let load = headers.get(header::LOAD).and_then(|value| value.to_str().ok());
    if let Some(load) = load.and_then(route::Load::parse) {
        state.routes.borrow_mut().observe(id, load);
    }
}

fn outcome(headers: &HeaderMap) -> Outcome {
    let value = headers.get(header::OUTCOME).and_then(|value| value.to_str().ok());
    value.and_then(Outcome::parse).unwrap_or(Outcome::Done)
}

/// The agent's own problem document, or one made from its status.
async fn refused(response: Response<Body>, address: SocketAddr) -> Failure {
    let outcome = outcome(response.headers());
    let status = response.status().as_u16();
    let body = response.into_body().collect(MAX_PROBLEM_BYTES).await.unwrap_or_default();
    let document = serde_json::from_slice::<Problem>(&body);
    let problem = document.unwrap_or_else(|_| {
        let detail = format!("the agent at {address} answered {status} without a problem document");
        match outcome {
            Outcome::NotRun => Problem::not_run(Code::Overloaded, detail),
            Outcome::Done | Outcome::Unknown => Problem::unknown(Code::TargetLost, detail),
        }
    });
    let problem = Problem { outcome, ..problem };
    let transient = matches!(
        problem.code,
        Code::Overloaded | Code::Leaving | Code::DeadlinePassed | Code::TargetLost
    );
    let blame = problem.code == Code::TargetLost;
    Failure { problem, transient, blame }
}

/// After the send, the target may have run the request.
fn lost(address: SocketAddr, error: &shallotflow_wire::http::Error) -> Failure {
    let detail = format!("the agent at {address} broke off: {error}");
    let problem = Problem::unknown(Code::TargetLost, detail);
    Failure { problem, transient: true, blame: true }
}

fn timed_out(sent: bool, address: SocketAddr) -> Failure {
    if sent {
        let detail = format!("the agent at {address} gave no whole answer before the deadline");
        let problem = Problem::unknown(Code::TimedOut, detail);
        return Failure { problem, transient: false, blame: true };
    }
    let detail = format!("no connection to {address} was made before the deadline");
    let problem = Problem::not_run(Code::DeadlinePassed, detail);
    Failure { problem, transient: false, blame: true }
}
