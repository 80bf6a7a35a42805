//! Counts a request of a caller until its answer is complete or given up.

use crate::state::State;
use shallotflow_core::class::Class;
use shallotflow_core::name::Name;
use std::rc::Rc;

/// A request that was taken on.
pub(super) struct Ticket {
    state: Rc<State>,
    caller: Name,
    class: Class,
}

impl Ticket {
    pub(super) fn new(state: Rc<State>, caller: Name, class: Class) -> Self {
        state.shares.borrow_mut().enter(&caller, class);
        Self { state, caller, class }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.state.shares.borrow_mut().leave(&self.caller, self.class);
    }
}
