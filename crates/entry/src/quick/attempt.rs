//! One attempt to send a request to one destination.

use super::Request;
use super::destination::Destination;
use super::download::Download;
use super::failure::Failure;
use super::in_flight::InFlight;
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

/// The largest response that is buffered whole before it is passed on, in bytes.
const MAX_BUFFERED_BYTES: u64 = 32 * 1024;
const HOP_BY_HOP: [HeaderName; 6] = [CONNECTION, EXPECT, HOST, TE, TRAILER, UPGRADE];
const KEEP_ALIVE: &str = "keep-alive";

/// The result of an attempt.
pub(super) type Result<T> = std::result::Result<T, Failure>;

/// Sends `request` to `destination` and waits for the response until `deadline`.
///
/// A large response is streamed to the caller; its body then holds `ticket` until it is complete.
pub(super) async fn attempt(
    state: &Rc<State>,
    request: &mut Request,
    destination: &Destination,
    deadline: Time,
    ticket: &Rc<Ticket>,
) -> Result<Response<Body>> {
    let remaining = deadline.left(state.now());
    let sent = Cell::new(false);
    let exchange = exchange(state, request, destination, ticket, &sent);
    match monoio::time::timeout(remaining, exchange).await {
        Ok(result) => result,
        // The timeout drops the exchange and closes its connection, so that a late response reaches
        // no other request.
        Err(_) => Err(Failure::timed_out(destination.address(), sent.get())),
    }
}

async fn exchange(
    state: &Rc<State>,
    request: &mut Request,
    destination: &Destination,
    ticket: &Rc<Ticket>,
    sent: &Cell<bool>,
) -> Result<Response<Body>> {
    let address = destination.address();
    let in_flight = InFlight::start(state.clone(), destination, request.options.class);
    let pool = state.pool(request.options.class);
    let mut connection = pool.take(address).await.map_err(|error| Failure::unreachable(&error))?;
    let outgoing = forwarded_request(state, request, destination);
    sent.set(true);
    let response = match connection.send(outgoing).await {
        Ok(response) => response,
        Err(error) if request.payload.is_caller_aborted() => {
            return Err(Failure::caller_aborted(&error));
        }
        Err(error) => return Err(Failure::connection_lost(address, &error)),
    };
    observe_load(state, destination, response.headers());
    let (mut head, body) = response.into_parts();
    let outcome = outcome(&head.headers);
    if outcome != Outcome::Done {
        let failure = Failure::refused(outcome, head.status, body, address).await;
        pool.give_back(address, connection);
        return Err(failure);
    }
    remove_hop_by_hop(&mut head.headers);
    head.headers.remove(header::LOAD);
    let done = HeaderValue::from_static(Outcome::Done.as_str());
    head.headers.insert(header::OUTCOME, done);
    let body = if body.length().is_some_and(|length| length <= MAX_BUFFERED_BYTES) {
        let bytes = body.collect(MAX_BUFFERED_BYTES as usize).await;
        let bytes = bytes.map_err(|error| Failure::connection_lost(address, &error))?;
        pool.give_back(address, connection);
        Body::Full(bytes)
    } else {
        stream(body, connection, request, destination, in_flight, ticket, pool)
    };
    Ok(Response::from_parts(head, body))
}

fn stream(
    body: Body,
    connection: Connection,
    request: &Request,
    destination: &Destination,
    in_flight: InFlight,
    ticket: &Rc<Ticket>,
    pool: &shallotflow_wire::http::pool::Pool,
) -> Body {
    Body::Source(Box::new(Download {
        body,
        connection: Some(connection),
        address: destination.address(),
        pool: pool.clone(),
        deadline: request.deadline,
        in_flight: Some(in_flight),
        ticket: Some(ticket.clone()),
    }))
}

fn forwarded_request(
    state: &State,
    request: &mut Request,
    destination: &Destination,
) -> http::Request<Body> {
    let mut outgoing = http::Request::new(request.payload.take());
    *outgoing.method_mut() = request.head.method.clone();
    *outgoing.uri_mut() = request.head.uri.clone();
    let headers = outgoing.headers_mut();
    *headers = request.head.headers.clone();
    remove_hop_by_hop(headers);
    let remaining_ms = request.deadline.left(state.now()).as_millis().max(1);
    set_header(headers, HOST.as_str(), &destination.address().to_string());
    set_header(headers, header::DEADLINE_MS, &remaining_ms.to_string());
    set_header(headers, header::REQUEST_ID, &request.id);
    set_header(headers, header::CALLER, &request.options.caller);
    if matches!(destination, Destination::Entry(_)) {
        headers.insert(header::HOPS, HeaderValue::from_static("1"));
    }
    outgoing
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn remove_hop_by_hop(headers: &mut HeaderMap) {
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
}

fn observe_load(state: &State, destination: &Destination, headers: &HeaderMap) {
    let Destination::Target { id, .. } = destination else { return };
    let load = headers.get(header::LOAD).and_then(|value| value.to_str().ok());
    if let Some(load) = load.and_then(route::Load::parse) {
        state.routes.borrow_mut().observe(state.now(), *id, load);
    }
}

fn outcome(headers: &HeaderMap) -> Outcome {
    let value = headers.get(header::OUTCOME).and_then(|value| value.to_str().ok());
    value.and_then(Outcome::parse).unwrap_or(Outcome::Done)
}
