//! Counts a request at its target until its answer is complete or given up.

use super::place::Place;
use crate::state::State;
use shallotflow_core::class::Class;
use shallotflow_policy::route;
use std::rc::Rc;

/// A request that was sent to a target or to another entry.
pub(super) struct Flight {
    state: Rc<State>,
    target: Option<route::Id>,
    class: Class,
}

impl Flight {
    pub(super) fn start(state: Rc<State>, place: &Place, class: Class) -> Self {
        let target = match place {
            Place::Target { id, .. } => Some(*id),
            Place::Entry(_) => None,
        };
        if let Some(id) = target {
            state.routes.borrow_mut().begin_request(state.now(), id, class);
        }
        Self { state, target, class }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if let Some(id) = self.target {
            self.state.routes.borrow_mut().end_request(id, self.class);
        }
    }
}
