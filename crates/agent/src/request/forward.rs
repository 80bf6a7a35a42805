//! Forwards an admitted request to the target and reads the answer.

use super::Result;
use super::head::Head;
use super::reservation::{AnswerBody, Reservation};
use crate::agent::Agent;
use futures_channel::oneshot;
use http::{HeaderValue, Request, Response, StatusCode};
use shallotflow_core::class::Class;
use shallotflow_core::name::Name;
use shallotflow_core::outcome::Outcome;
use shallotflow_core::problem::{Code, Problem};
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::{Clock, Monotonic};
use shallotflow_policy::admission::Id;
use shallotflow_wire::control::INCARNATION_HEADER;
use shallotflow_wire::header;
use shallotflow_wire::http::body::Body;
use shallotflow_wire::http::client::Connection;
use shallotflow_wire::http::limits::Limits;
use shallotflow_wire::http::pool::Pool;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_CONNECTIONS: usize = 64;
/// Limit on the time that a target works on one request.
const MAX_RUN: Duration = Duration::from_secs(24 * 60 * 60);
/// Answers up to this length are buffered; longer ones are streamed to the entry.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// The connection pool of the target.
pub(crate) fn pool() -> Pool {
    let limits = Limits { head: MAX_RUN, stall: MAX_RUN, ..Limits::default() };
    Pool::new(limits, CONNECT_TIMEOUT, IDLE_CONNECTIONS)
}

/// Sends `request`, whose reservation is `id`, and waits for the answer until the deadline.
///
/// After a missed deadline the reservation is kept until the target has answered.
pub(super) async fn forward(
    agent: &Agent,
    id: Id,
    head: &Head,
    mut request: Request<Body>,
) -> Result<Response<Body>> {
    let name = Name::from(format!("{}.{}", agent.incarnation(), id.0));
    let reservation = Reservation::new(agent, id, name.clone());
    set_headers(&mut request, &name, &head.need);
    let (sender, answer) = oneshot::channel();
    let exchange = exchange(agent.clone(), reservation, head.class, request);
    monoio::spawn(async move {
        // The receiver is dropped at the deadline; the exchange still runs to its end.
        let _ = sender.send(exchange.await);
    });
    let remaining = head.deadline.remaining(Monotonic.now());
    match monoio::time::timeout(remaining, answer).await {
        Ok(Ok(result)) => result,
        _ => {
            let detail = format!("no answer from {} before the deadline", agent.settings().worker);
            Err(Problem::unknown(Code::TimedOut, detail))
        }
    }
}

/// Adds the request's identifier and its resources, by which the worker lists it.
fn set_headers(request: &mut Request<Body>, name: &str, need: &Bundle) {
    let headers = request.headers_mut();
    headers.remove(http::header::CONNECTION);
    let mut set = |header: &'static str, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(header, value);
        }
    };
    set(INCARNATION_HEADER, name);
    set(Bundle::HEADER, &need.to_string());
}

async fn exchange(
    agent: Agent,
    reservation: Reservation,
    class: Class,
    request: Request<Body>,
) -> Result<Response<Body>> {
    let started = Monotonic.now();
    let target = agent.settings().target;
    let mut connection = match agent.pool().take(target).await {
        Ok(connection) => connection,
        Err(error) => {
            reservation.release();
            return Err(Problem::not_run(Code::TargetLost, error.to_string()));
        }
    };
    let response = connection.send(request).await.map_err(|error| target_lost(&error))?;
    if is_fenced(&response) {
        reservation.release();
        let detail = "a newer agent has attached to the worker";
        return Err(Problem::not_run(Code::Leaving, detail));
    }
    let answer = read_answer(&agent, response, connection, reservation).await?;
    if class == Class::Quick {
        agent.state_mut().meter.add(Monotonic.now().since(started));
    }
    Ok(answer)
}

/// Buffers a short answer; a long one is streamed.
async fn read_answer(
    agent: &Agent,
    response: Response<Body>,
    connection: Connection,
    reservation: Reservation,
) -> Result<Response<Body>> {
    let (mut head, body) = response.into_parts();
    head.headers.remove(http::header::CONNECTION);
    if body.length().is_none_or(|length| length > MAX_BUFFERED_BYTES) {
        let body = AnswerBody::new(body, connection, reservation);
        return Ok(Response::from_parts(head, Body::Source(Box::new(body))));
    }
    let body =
        body.collect(MAX_BUFFERED_BYTES as usize).await.map_err(|error| target_lost(&error))?;
    agent.pool().give_back(agent.settings().target, connection);
    reservation.release();
    Ok(Response::from_parts(head, Body::Full(body)))
}

/// Whether the worker refused the request, by its fence, before the target received it.
fn is_fenced(response: &Response<Body>) -> bool {
    let outcome = response.headers().get(header::OUTCOME);
    response.status() == StatusCode::CONFLICT
        && outcome.is_some_and(|outcome| outcome == Outcome::NotRun.as_str())
}

fn target_lost(error: &shallotflow_wire::http::Error) -> Problem {
    Problem::unknown(Code::TargetLost, error.to_string())
}
