//! Dispatches a request and counts its outcome.

use super::{Request, relay, targets};
use crate::callers::answer;
use crate::state::State;
use http::Response;
use shallotflow_core::problem::{Code, Problem};
use shallotflow_wire::http::body::Body;
use std::rc::Rc;

/// Sends `request` to a target that this entry knows, or relays it to another entry if there is
/// none.
///
/// A request that another entry has relayed is not relayed again.
pub async fn dispatch(state: Rc<State>, request: Request) -> Response<Body> {
    let (started, class, kind) = (state.now(), request.options.class, request.kind.clone());
    let has_targets = state.routes.borrow().members(&kind) > 0;
    let result = if has_targets {
        targets::serve(&state, request).await
    } else if request.options.hops == 0 {
        relay::serve(&state, request).await
    } else {
        Err(unknown_kind(&kind))
    };
    match result {
        Ok(response) => {
            if has_targets {
                state.meters.borrow_mut().done(&kind, class, state.now().since(started));
            }
            response
        }
        Err(problem) => {
            state.meters.borrow().problem(class, problem.outcome, problem.code);
            answer::problem(&problem)
        }
    }
}

/// The problem for a kind that no target announces.
pub(super) fn unknown_kind(kind: &str) -> Problem {
    Problem::not_run(Code::UnknownKind, format!("no target announces kind {kind:?}"))
}
