//! Relays a request to another entry.

use super::attempt::attempt;
use super::destination::Destination;
use super::dispatch::unknown_kind;
use super::ticket::Ticket;
use super::{Request, Result};
use crate::state::State;
use http::Response;
use shallotflow_core::outcome::Outcome;
use shallotflow_wire::http::body::Body;
use std::rc::Rc;

/// The number of entries that are tried for a kind without a target here.
const MAX_ENTRIES: usize = 2;

/// Relays `request` to another entry, and to a second one if the first did not run it.
pub(super) async fn serve(state: &Rc<State>, mut request: Request) -> Result<Response<Body>> {
    let entries = state.directory.borrow().sample(MAX_ENTRIES, &mut state.rng.borrow_mut());
    let ticket = Ticket::start(state, &request);
    let mut problem = unknown_kind(&request.kind);
    let deadline = request.deadline;
    for entry in entries {
        state.meters.borrow().relayed();
        let failure = match attempt(
            state,
            &mut request,
            &Destination::Entry(entry.callers),
            deadline,
            &ticket,
        )
        .await
        {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        problem = failure.problem;
        let not_run = problem.outcome == Outcome::NotRun;
        if !not_run || !failure.retryable || !request.payload.is_replayable() {
            break;
        }
    }
    Err(problem)
}
