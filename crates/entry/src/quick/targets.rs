//! Sends a request to targets that this entry knows.

use super::attempt::attempt;
use super::destination::Destination;
use super::failure::Failure;
use super::ticket::Ticket;
use super::{Request, Result};
use crate::state::State;
use crate::tick;
use http::{HeaderValue, Response};
use shallotflow_core::class::Class;
use shallotflow_core::outcome::Outcome;
use shallotflow_core::problem::{Code, Problem};
use shallotflow_core::time::Time;
use shallotflow_policy::{outlier, retry, route, share};
use shallotflow_wire::header;
use shallotflow_wire::http::body::Body;
use std::rc::Rc;

const RETRY_AFTER_S: u32 = 1;
/// A share or weight of 1, in thousandths.
const ONE_MILLI: u32 = 1_000;
/// A timeout counts as the target's failure only if the target had at least this many times the
/// expected latency.
const TIMEOUT_FAILURE_FACTOR: u32 = 4;

/// Sends `request` to a target, and retries at other targets while the retry budget allows it.
pub(super) async fn serve(state: &Rc<State>, mut request: Request) -> Result<Response<Body>> {
    check_size(state, &request)?;
    state.retries.borrow_mut().earn();
    let mut tried = Vec::new();
    let mut destination = choose_destination(state, &request, &mut tried)
        .ok_or_else(|| no_eligible_target(&request.kind))?;
    admit(state, &request, &destination)?;
    let ticket = Ticket::start(state, &request);
    loop {
        let started = state.now();
        let deadline = attempt_deadline(state, &request, &destination, tried.len());
        let result = attempt(state, &mut request, &destination, deadline, &ticket).await;
        record_result(state, &request, &destination, started, &result);
        let failure = match result {
            Ok(response) => return Ok(with_worker_header(response, &destination)),
            Err(failure) => failure,
        };
        if !may_retry(state, &request, &failure, tried.len()) {
            return Err(failure.problem);
        }
        let Some(next) = choose_destination(state, &request, &mut tried) else {
            return Err(failure.problem);
        };
        state.meters.borrow().retry();
        destination = next;
    }
}

/// Refuses a request that exceeds the capacity of every target of its kind.
fn check_size(state: &State, request: &Request) -> Result<()> {
    let need = &request.options.resources;
    if request.options.is_minimal() || state.members.borrow().could_hold(&request.kind, need) {
        return Ok(());
    }
    let detail = format!("no target of kind {:?} has {need}", request.kind);
    Err(Problem::not_run(Code::NeverFits, detail))
}

fn choose_destination(
    state: &State,
    request: &Request,
    tried: &mut Vec<route::Id>,
) -> Option<Destination> {
    let routes = state.routes.borrow();
    let query = route::Query { kind: &request.kind, class: request.options.class, tried };
    let choice = routes.choose(state.now(), &query, &mut state.rng.borrow_mut())?;
    let target = routes.target(choice.id)?;
    tried.push(choice.id);
    Some(Destination::Target {
        id: choice.id,
        worker: target.worker.clone(),
        address: target.address,
        expected_wait: choice.wait,
        expected_latency: choice.total,
    })
}

/// Applies admission control before anything is sent.
fn admit(state: &State, request: &Request, destination: &Destination) -> Result<()> {
    let Destination::Target { expected_wait, .. } = destination else { return Ok(()) };
    let (kind, caller) = (&*request.kind, &*request.options.caller);
    let mut claim = share::Claim {
        caller,
        class: request.options.class,
        wait: *expected_wait,
        remaining: request.deadline.remaining(state.now()),
        share_milli: ONE_MILLI,
        weight_milli: ONE_MILLI,
    };
    if claim.class == Class::Watch || claim.is_under_pressure(&state.share_settings) {
        let (default_values, caller_values) = (state.values(kind, ""), state.values(kind, caller));
        claim.share_milli = caller_values.caller_share;
        claim.weight_milli =
            caller_values.caller_share * ONE_MILLI / default_values.caller_share.max(1);
    }
    let admitted = share::admit(&claim, &state.shares.borrow(), &state.share_settings);
    admitted.map_err(|refusal| shed_problem(refusal, &claim))
}

fn shed_problem(refusal: share::Refusal, claim: &share::Claim<'_>) -> Problem {
    let share::Claim { caller, wait, remaining, .. } = claim;
    let (code, detail) = match refusal {
        share::Refusal::Watchers => {
            (Code::Overloaded, "this entry holds its maximum number of watchers".to_owned())
        }
        share::Refusal::DeadlineUnreachable => {
            let (wait, remaining) = (wait.as_millis(), remaining.as_millis());
            let detail = format!(
                "the expected wait is {wait} ms, but only {remaining} ms remain until the deadline"
            );
            (Code::Overloaded, detail)
        }
        share::Refusal::OverShare => {
            let detail = format!("caller {caller:?} has more requests in flight than its share");
            (Code::CallerOverShare, detail)
        }
    };
    Problem::not_run(code, detail).retry_after(RETRY_AFTER_S)
}

/// Records the result of an attempt in the route and outlier tables.
fn record_result(
    state: &State,
    request: &Request,
    destination: &Destination,
    started: Time,
    result: &super::attempt::Result<Response<Body>>,
) {
    let Destination::Target { id, expected_latency, .. } = destination else { return };
    let latency = state.now().since(started);
    let mut routes = state.routes.borrow_mut();
    let mean_latency = routes.mean_latency(&request.kind);
    let failed = match result {
        Ok(response) => response.status().is_server_error(),
        Err(failure) if failure.problem.code == Code::TimedOut => {
            latency >= mean_latency.max(*expected_latency) * TIMEOUT_FAILURE_FACTOR
        }
        Err(failure) if failure.target_fault => true,
        // A refusal does not show whether the target is healthy.
        Err(_) => return,
    };
    routes.record_result(*id, failed);
    if request.options.class == Class::Watch && !failed {
        return;
    }
    if !failed {
        routes.record_latency(&request.kind, latency);
    }
    drop(routes);
    let sample = outlier::Sample { failed, latency, expected: mean_latency.max(*expected_latency) };
    if state.outliers.borrow_mut().record(*id, &sample) {
        tick::update_ejections(state);
    }
}

fn attempt_deadline(
    state: &State,
    request: &Request,
    destination: &Destination,
    attempts: usize,
) -> Time {
    let Destination::Target { expected_latency, .. } = destination else { return request.deadline };
    // The outcome is unknown before the attempt; the timeout does not depend on it.
    let attempt = retry_attempt(request, Outcome::Unknown, attempts);
    let expected = state.routes.borrow().mean_latency(&request.kind).max(*expected_latency);
    retry::attempt_deadline(&attempt, expected, state.retries.borrow().settings(), state.now())
}

fn may_retry(state: &State, request: &Request, failure: &Failure, attempts: usize) -> bool {
    let attempt = retry_attempt(request, failure.problem.outcome, attempts);
    let mut budget = state.retries.borrow_mut();
    failure.retryable && retry::decide(&attempt, &mut budget, state.now()) == retry::Verdict::Retry
}

fn retry_attempt(request: &Request, outcome: Outcome, attempts: usize) -> retry::Attempt {
    retry::Attempt {
        outcome,
        idempotent: request.options.idempotent,
        replayable: request.payload.is_replayable(),
        number: u32::try_from(attempts).unwrap_or(u32::MAX),
        deadline: request.deadline,
    }
}

fn no_eligible_target(kind: &str) -> Problem {
    let detail = format!("every target of kind {kind:?} is leaving or ejected");
    Problem::not_run(Code::Overloaded, detail).retry_after(RETRY_AFTER_S)
}

fn with_worker_header(mut response: Response<Body>, destination: &Destination) -> Response<Body> {
    let Destination::Target { worker, .. } = destination else { return response };
    if let Ok(value) = HeaderValue::from_str(worker) {
        response.headers_mut().insert(header::WORKER, value);
    }
    response
}
