//! Serves a request and counts how it ended.

use super::{Request, relay, targets};
use crate::callers::answer;
use crate::state::State;
use http::Response;
use shallotflow_core::problem::{Code, Problem};
use shallotflow_wire::http::body::Body;
use std::rc::Rc;

/// Sends `request` to a target here, or to another entry if none is known here.
pub async fn dispatch(state: Rc<State>, request: Request) -> Response<Body> {
    let (began, class, kind) = (state.now(), request.ask.class, request.kind.clone());
    let known = state.routes.borrow().members(&kind) > 0;
    let result = if known {
        targets::serve(&state, request).await
    } else if request.ask.hops == 0 {
        relay::serve(&state, request).await
    } else {
        Err(unknown_kind(&kind))
    };
    match result {
        Ok(response) => {
            if known {
                state.meters.borrow_mut().done(&kind, class, state.now().since(began));
            }
            response
        }
        Err(problem) => {
            state.meters.borrow().problem(class, problem.outcome, problem.code);
            answer::problem(&problem)
        }
    }
}

/// The problem of a kind that nobody announces.
pub(super) fn unknown_kind(kind: &str) -> Problem {
    Problem::not_run(Code::UnknownKind, format!("no target announces kind {kind:?}"))
}
