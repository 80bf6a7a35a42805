//! Counts a request at its target until its answer is complete or given up.

use crate::state::State;
use shallotflow_core::class::Class;
use shallotflow_policy::route;
use std::rc::Rc;

/// A request that was sent to a target.
pub(super) struct Flight {
    state: Rc<State>,
    id: route::Id,
    class: Class,
}

impl Flight {
    pub(super) fn start(state: Rc<State>, id: route::Id, class: Class) -> Self {
        state.routes.borrow_mut().sent(id, class);
        Self { state, id, class }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.state.routes.borrow_mut().answered(self.id, self.class);
    }
}
