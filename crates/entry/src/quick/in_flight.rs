//! Counts a request as in flight at its target until the response is complete or abandoned.

use super::destination::Destination;
use crate::state::State;
use shallotflow_core::class::Class;
use shallotflow_policy::route;
use std::rc::Rc;

/// Guard of a request that was sent to a target or to another entry. Dropping it ends the count;
/// requests to other entries are not counted.
pub(super) struct InFlight {
    state: Rc<State>,
    target: Option<route::Id>,
    class: Class,
}

impl InFlight {
    pub(super) fn start(state: Rc<State>, destination: &Destination, class: Class) -> Self {
        let target = match destination {
            Destination::Target { id, .. } => Some(*id),
            Destination::Entry(_) => None,
        };
        if let Some(id) = target {
            state.routes.borrow_mut().begin_request(state.now(), id, class);
        }
        Self { state, target, class }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(id) = self.target {
            self.state.routes.borrow_mut().end_request(id, self.class);
        }
    }
}
