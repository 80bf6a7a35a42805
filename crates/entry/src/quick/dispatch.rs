//! Chooses targets for a request until one answers.

use super::Request;
use super::attempt::{Failure, attempt};
use crate::callers::{answer, header};
use crate::state::State;
use http::{HeaderValue, Response};
use shallotflow_core::problem::{Code, Problem};
use shallotflow_policy::{retry, route};
use shallotflow_wire::http::body::Body;
use std::rc::Rc;

const RETRY_AFTER_S: u32 = 1;

/// Sends `request` to a target, and to others while the retry budget allows it.
pub async fn dispatch(state: Rc<State>, mut request: Request) -> Response<Body> {
    state.retries.borrow_mut().earn();
    let mut tried = Vec::new();
    let mut last: Option<Problem> = None;
    loop {
        let Some((id, target)) = choose(&state, &request, &tried) else {
            return answer::problem(&last.unwrap_or_else(|| no_target(&state, &request)));
        };
        tried.push(id);
        match attempt(&state, &mut request, id, target.address).await {
            Ok(response) => {
                record(&state, id, response.status().is_server_error());
                return name_worker(response, &target.worker);
            }
            Err(failure) => {
                record(&state, id, failure.blame);
                if !may_retry(&state, &request, &failure, tried.len()) {
                    return answer::problem(&failure.problem);
                }
                last = Some(failure.problem);
            }
        }
    }
}

fn choose(
    state: &State,
    request: &Request,
    tried: &[route::Id],
) -> Option<(route::Id, route::Target)> {
    let routes = state.routes.borrow();
    let wish = route::Wish { kind: &request.kind, class: request.ask.class, tried };
    let choice = routes.choose(&wish, &mut state.rng.borrow_mut())?;
    Some((choice.id, routes.target(choice.id)?.clone()))
}

fn record(state: &State, id: route::Id, failed: bool) {
    state.routes.borrow_mut().record(id, failed);
}

fn may_retry(state: &State, request: &Request, failure: &Failure, attempts: usize) -> bool {
    let attempt = retry::Attempt {
        outcome: failure.problem.outcome,
        idempotent: request.ask.idempotent,
        replayable: request.payload.is_replayable(),
        number: u32::try_from(attempts).unwrap_or(u32::MAX),
        deadline: request.deadline,
    };
    let mut budget = state.retries.borrow_mut();
    failure.transient && retry::decide(&attempt, &mut budget, state.now()) == retry::Verdict::Again
}

fn no_target(state: &State, request: &Request) -> Problem {
    let kind = &request.kind;
    if state.routes.borrow().members(kind) == 0 {
        return Problem::not_run(Code::UnknownKind, format!("no target announces kind {kind:?}"));
    }
    let detail = format!("every target of kind {kind:?} is leaving or set aside");
    Problem::not_run(Code::Overloaded, detail).retry_after(RETRY_AFTER_S)
}

fn name_worker(mut response: Response<Body>, worker: &str) -> Response<Body> {
    if let Ok(value) = HeaderValue::from_str(worker) {
        response.headers_mut().insert(header::WORKER, value);
    }
    response
}
