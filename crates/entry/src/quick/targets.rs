//! Sends a request to targets that are known here.

use super::attempt::attempt;
use super::failure::Failure;
use super::place::Place;
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
const WHOLE_MILLI: u32 = 1_000;
/// A timeout is the target's fault when it had this many times the time that was expected.
const FAIR_FACTOR: u32 = 4;

/// Sends `request` to a target, and to others while the retry budget allows it.
pub(super) async fn serve(state: &Rc<State>, mut request: Request) -> Result<Response<Body>> {
    check_size(state, &request)?;
    state.retries.borrow_mut().earn();
    let mut tried = Vec::new();
    let mut place = choose(state, &request, &mut tried).ok_or_else(|| no_target(&request.kind))?;
    admit(state, &request, &place)?;
    let ticket = Ticket::start(state, &request);
    loop {
        let began = state.now();
        let until = patience(state, &request, &place, tried.len());
        let result = attempt(state, &mut request, &place, until, &ticket).await;
        record(state, &request, &place, began, &result);
        let failure = match result {
            Ok(response) => return Ok(name_worker(response, &place)),
            Err(failure) => failure,
        };
        if !may_retry(state, &request, &failure, tried.len()) {
            return Err(failure.problem);
        }
        let Some(next) = choose(state, &request, &mut tried) else { return Err(failure.problem) };
        state.meters.borrow().retry();
        place = next;
    }
}

/// Refuses a request that no target of its kind could ever hold.
fn check_size(state: &State, request: &Request) -> Result<()> {
    let need = &request.ask.resources;
    if request.ask.is_small() || state.members.borrow().could_hold(&request.kind, need) {
        return Ok(());
    }
    let detail = format!("no target of kind {:?} has {need}", request.kind);
    Err(Problem::not_run(Code::NeverFits, detail))
}

fn choose(state: &State, request: &Request, tried: &mut Vec<route::Id>) -> Option<Place> {
    let routes = state.routes.borrow();
    let query = route::Query { kind: &request.kind, class: request.ask.class, tried };
    let choice = routes.choose(state.now(), &query, &mut state.rng.borrow_mut())?;
    let target = routes.target(choice.id)?;
    tried.push(choice.id);
    Some(Place::Target {
        id: choice.id,
        worker: target.worker.clone(),
        address: target.address,
        wait: choice.wait,
        total: choice.total,
    })
}

/// Sheds a request early, before anything is sent.
fn admit(state: &State, request: &Request, place: &Place) -> Result<()> {
    let Place::Target { wait, .. } = place else { return Ok(()) };
    let (kind, caller) = (&*request.kind, &*request.ask.caller);
    let mut claim = share::Claim {
        caller,
        class: request.ask.class,
        wait: *wait,
        remaining: request.deadline.remaining(state.now()),
        share_milli: WHOLE_MILLI,
        weight_milli: WHOLE_MILLI,
    };
    if claim.class == Class::Watch || claim.is_under_pressure(&state.share_settings) {
        let (usual, own) = (state.values(kind, ""), state.values(kind, caller));
        claim.share_milli = own.caller_share;
        claim.weight_milli = own.caller_share * WHOLE_MILLI / usual.caller_share.max(1);
    }
    let admitted = share::admit(&claim, &state.shares.borrow(), &state.share_settings);
    admitted.map_err(|refusal| shed(refusal, &claim))
}

fn shed(refusal: share::Refusal, claim: &share::Claim<'_>) -> Problem {
    let share::Claim { caller, wait, remaining: left, .. } = claim;
    let (code, detail) = match refusal {
        share::Refusal::Watchers => {
            (Code::Overloaded, "this entry holds as many watchers as it may".to_owned())
        }
        share::Refusal::DeadlineUnreachable => {
            let (wait, left) = (wait.as_millis(), left.as_millis());
            let detail = format!("the wait is expected to be {wait} ms, with {left} ms left");
            (Code::Overloaded, detail)
        }
        share::Refusal::OverShare => {
            let detail = format!("caller {caller:?} has more than its share in progress");
            (Code::CallerOverShare, detail)
        }
    };
    Problem::not_run(code, detail).retry_after(RETRY_AFTER_S)
}

/// Takes the result of an attempt into the tables.
fn record(
    state: &State,
    request: &Request,
    place: &Place,
    began: Time,
    result: &super::attempt::Result<Response<Body>>,
) {
    let Place::Target { id, total, .. } = place else { return };
    let latency = state.now().since(began);
    let mut routes = state.routes.borrow_mut();
    let usual = routes.mean_latency(&request.kind);
    let failed = match result {
        Ok(response) => response.status().is_server_error(),
        Err(failure) if failure.problem.code == Code::TimedOut => {
            latency >= usual.max(*total) * FAIR_FACTOR
        }
        Err(failure) if failure.blame => true,
        // A refusal says nothing about the target's health.
        Err(_) => return,
    };
    routes.record_result(*id, failed);
    if request.ask.class == Class::Watch && !failed {
        return;
    }
    if !failed {
        routes.record_latency(&request.kind, latency);
    }
    drop(routes);
    let sample = outlier::Sample { failed, latency, expected: usual.max(*total) };
    if state.outliers.borrow_mut().record(*id, &sample) {
        tick::set_aside(state);
    }
}

fn patience(state: &State, request: &Request, place: &Place, attempts: usize) -> Time {
    let Place::Target { total, .. } = place else { return request.deadline };
    // The outcome is not known before the attempt, and does not count here.
    let attempt = started(request, Outcome::Unknown, attempts);
    let expected = state.routes.borrow().mean_latency(&request.kind).max(*total);
    retry::attempt_deadline(&attempt, expected, state.retries.borrow().settings(), state.now())
}

fn may_retry(state: &State, request: &Request, failure: &Failure, attempts: usize) -> bool {
    let attempt = started(request, failure.problem.outcome, attempts);
    let mut budget = state.retries.borrow_mut();
    failure.transient && retry::decide(&attempt, &mut budget, state.now()) == retry::Verdict::Retry
}

fn started(request: &Request, outcome: Outcome, attempts: usize) -> retry::Attempt {
    retry::Attempt {
        outcome,
        idempotent: request.ask.idempotent,
        replayable: request.payload.is_replayable(),
        number: u32::try_from(attempts).unwrap_or(u32::MAX),
        deadline: request.deadline,
    }
}

fn no_target(kind: &str) -> Problem {
    let detail = format!("every target of kind {kind:?} is leaving or set aside");
    Problem::not_run(Code::Overloaded, detail).retry_after(RETRY_AFTER_S)
}

fn name_worker(mut response: Response<Body>, place: &Place) -> Response<Body> {
    let Place::Target { worker, .. } = place else { return response };
    if let Ok(value) = HeaderValue::from_str(worker) {
        response.headers_mut().insert(header::WORKER, value);
    }
    response
}
