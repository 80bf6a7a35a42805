//! One attempt of a request at one place.

use super::Request;
use super::failure::Failure;
use super::flight::Flight;
use super::place::Place;
use super::relayed::Relayed;
use super::ticket::Ticket;
use crate::state::State;
use http::header::{CONNECTION, EXPECT, HOST, TE, TRAILER, UPGRADE};
use http::{HeaderMap, HeaderName, HeaderValue, Response};
use shallotflow_core::outcome::Outcome;
use shallotflow_core::time::Time;
use shallotflow_policy::route;
use shallotflow_wire::header;
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::client::Connection;
use std::cell::Cell;
use std::rc::Rc;

/// The largest answer that is passed on as a whole, bytes.
const WHOLE_BYTES: u64 = 32 * 1024;
const HOP_BY_HOP: [HeaderName; 6] = [CONNECTION, EXPECT, HOST, TE, TRAILER, UPGRADE];
const KEEP_ALIVE: &str = "keep-alive";

/// The result of an attempt.
pub(super) type Result<T> = std::result::Result<T, Failure>;

/// Sends `request` to `place` and waits for the answer `until` a time.
///
/// A large answer is passed on while it is received, and `ticket` with it.
pub(super) async fn attempt(
    state: &Rc<State>,
    request: &mut Request,
    place: &Place,
    until: Time,
    ticket: &Rc<Ticket>,
) -> Result<Response<Body>> {
    let left = until.remaining(state.now());
    let sent = Cell::new(false);
    let exchange = exchange(state, request, place, ticket, &sent);
    match monoio::time::timeout(left, exchange).await {
        Ok(result) => result,
        // The connection was dropped with the exchange, so that a late answer reaches nobody.
        Err(_) => Err(Failure::timed_out(place.address(), sent.get())),
    }
}

async fn exchange(
    state: &Rc<State>,
    request: &mut Request,
    place: &Place,
    ticket: &Rc<Ticket>,
    sent: &Cell<bool>,
) -> Result<Response<Body>> {
    let address = place.address();
    let flight = Flight::start(state.clone(), place, request.ask.class);
    let pool = state.pool(request.ask.class);
    let mut connection = pool.take(address).await.map_err(|error| Failure::unreachable(&error))?;
    let outgoing = outgoing(state, request, place);
    sent.set(true);
    let response = match connection.send(outgoing).await {
        Ok(response) => response,
        Err(error) if request.payload.is_broken() => return Err(Failure::broken_caller(&error)),
        Err(error) => return Err(Failure::lost(address, &error)),
    };
    observe(state, place, response.headers());
    let (mut head, body) = response.into_parts();
    let outcome = outcome(&head.headers);
    if outcome != Outcome::Done {
        let failure = Failure::refused(outcome, head.status, body, address).await;
        pool.give_back(address, connection);
        return Err(failure);
    }
    strip(&mut head.headers);
    head.headers.remove(header::LOAD);
    let done = HeaderValue::from_static(Outcome::Done.as_str());
    head.headers.insert(header::OUTCOME, done);
    let body = if body.length().is_some_and(|length| length <= WHOLE_BYTES) {
        let whole = body.collect(WHOLE_BYTES as usize).await;
        let whole = whole.map_err(|error| Failure::lost(address, &error))?;
        pool.give_back(address, connection);
        Body::Full(whole)
    } else {
        stream(body, connection, request, place, flight, ticket, pool)
    };
    Ok(Response::from_parts(head, body))
}

fn stream(
    body: Body,
    connection: Connection,
    request: &Request,
    place: &Place,
    flight: Flight,
    ticket: &Rc<Ticket>,
    pool: &shallotflow_wire::http::pool::Pool,
) -> Body {
    Body::Source(Box::new(Relayed {
        body,
        connection: Some(connection),
        address: place.address(),
        pool: pool.clone(),
        deadline: request.deadline,
        flight: Some(flight),
        ticket: Some(ticket.clone()),
    }))
}

fn outgoing(state: &State, request: &mut Request, place: &Place) -> http::Request<Body> {
    let mut outgoing = http::Request::new(request.payload.take());
    *outgoing.method_mut() = request.head.method.clone();
    *outgoing.uri_mut() = request.head.uri.clone();
    let headers = outgoing.headers_mut();
    *headers = request.head.headers.clone();
    strip(headers);
    let left_ms = request.deadline.remaining(state.now()).as_millis().max(1);
    set(headers, HOST.as_str(), &place.address().to_string());
    set(headers, header::DEADLINE_MS, &left_ms.to_string());
    set(headers, header::REQUEST_ID, &request.id);
    set(headers, header::CALLER, &request.ask.caller);
    if matches!(place, Place::Entry(_)) {
        headers.insert(header::HOPS, HeaderValue::from_static("1"));
    }
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

fn observe(state: &State, place: &Place, headers: &HeaderMap) {
    let Place::Target { id, .. } = place else { return };
    let load = headers.get(header::LOAD).and_then(|value| value.to_str().ok());
    if let Some(load) = load.and_then(route::Load::parse) {
        state.routes.borrow_mut().observe(state.now(), *id, load);
    }
}

fn outcome(headers: &HeaderMap) -> Outcome {
    let value = headers.get(header::OUTCOME).and_then(|value| value.to_str().ok());
    value.and_then(Outcome::parse).unwrap_or(Outcome::Done)
}
