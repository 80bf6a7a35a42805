//! Passes a request to another entry.

use super::attempt::attempt;
use super::dispatch::unknown_kind;
use super::place::Place;
use super::ticket::Ticket;
use super::{Request, Result};
use crate::state::State;
use http::Response;
use shallotflow_core::outcome::Outcome;
use shallotflow_wire::http::body::Body;
use std::rc::Rc;

/// Entries that are asked for a kind that is unknown here.
const ENTRIES: usize = 2;

/// Passes `request` to another entry, and to a second one if the first did not run it.
pub(super) async fn serve(state: &Rc<State>, mut request: Request) -> Result<Response<Body>> {
    let entries = state.directory.borrow().sample(ENTRIES, &mut state.rng.borrow_mut());
    let ticket = Ticket::start(state, &request);
    let mut problem = unknown_kind(&request.kind);
    let until = request.deadline;
    for entry in entries {
        state.meters.borrow().relayed();
        let failure = match attempt(
            state,
            &mut request,
            &Place::Entry(entry.callers),
            until,
            &ticket,
        )
        .await
        {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        problem = failure.problem;
        let not_run = problem.outcome == Outcome::NotRun;
        if !not_run || !failure.transient || !request.payload.is_replayable() {
            break;
        }
    }
    Err(problem)
}
