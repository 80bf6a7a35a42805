//! Sends a request to the target and takes its answer.

use super::Result;
use super::carried::{Carried, Reservation};
use super::head::Head;
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
/// The longest that a target works on one request.
const LONGEST_RUN: Duration = Duration::from_secs(24 * 60 * 60);
/// Answers up to this length are read before they are passed on.
const BUFFERED_BYTES: u64 = 64 * 1024;

/// Connections to the target.
pub(crate) fn pool() -> Pool {
    let limits = Limits { head: LONGEST_RUN, stall: LONGEST_RUN, ..Limits::default() };
    Pool::new(limits, CONNECT_TIMEOUT, IDLE_CONNECTIONS)
}

/// Sends `request`, for which `id` is reserved, and waits for the answer until the deadline.
///
/// A request that misses its deadline keeps its reservation until the target has answered.
pub(super) async fn forward(
    agent: &Agent,
    id: Id,
    head: &Head,
    mut request: Request<Body>,
) -> Result<Response<Body>> {
    let name = Name::from(format!("{}.{}", agent.incarnation(), id.0));
    let reservation = Reservation::new(agent, id, name.clone());
    stamp(&mut request, &name, &head.need);
    let (sender, answered) = oneshot::channel();
    let exchange = exchange(agent.clone(), reservation, head.class, request);
    monoio::spawn(async move {
        // A caller that gave up drops its receiver; the exchange still runs to its end.
        let _ = sender.send(exchange.await);
    });
    let left = head.deadline.remaining(Monotonic.now());
    match monoio::time::timeout(left, answered).await {
        Ok(Ok(result)) => result,
        _ => {
            let detail = format!("no answer from {} in time", agent.settings().worker);
            Err(Problem::unknown(Code::TimedOut, detail))
        }
    }
}

fn stamp(request: &mut Request<Body>, name: &str, need: &Bundle) {
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
    let response = connection.send(request).await.map_err(|error| lost(&error))?;
    if says_not_run(&response) {
        reservation.release();
        let detail = "the worker takes requests of a newer agent only";
        return Err(Problem::not_run(Code::Leaving, detail));
    }
    let answer = take(&agent, response, connection, reservation).await?;
    if class == Class::Quick {
        agent.state_mut().meter.add(Monotonic.now().since(started));
    }
    Ok(answer)
}

/// Reads a short answer to its end; a long one is passed on while it is read.
async fn take(
    agent: &Agent,
    response: Response<Body>,
    connection: Connection,
    reservation: Reservation,
) -> Result<Response<Body>> {
    let (mut head, body) = response.into_parts();
    head.headers.remove(http::header::CONNECTION);
    if body.length().is_none_or(|length| length > BUFFERED_BYTES) {
        let carried = Carried::new(body, connection, reservation);
        return Ok(Response::from_parts(head, Body::Source(Box::new(carried))));
    }
    let body = body.collect(BUFFERED_BYTES as usize).await.map_err(|error| lost(&error))?;
    agent.pool().give_back(agent.settings().target, connection);
    reservation.release();
    Ok(Response::from_parts(head, Body::Full(body)))
}

/// Whether the worker fenced the request off before the target saw it.
fn says_not_run(response: &Response<Body>) -> bool {
    let outcome = response.headers().get(header::OUTCOME);
    response.status() == StatusCode::CONFLICT
        && outcome.is_some_and(|outcome| outcome == Outcome::NotRun.as_str())
}

fn lost(error: &shallotflow_wire::http::Error) -> Problem {
    Problem::unknown(Code::TargetLost, error.to_string())
}
