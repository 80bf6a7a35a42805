//! Counts a request of a caller until its answer is complete or given up.

use super::Request;
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
    /// Counts a request that was just admitted.
    pub(super) fn start(state: &Rc<State>, request: &Request) -> Rc<Self> {
        let (caller, class) = (request.ask.caller.clone(), request.ask.class);
        state.shares.borrow_mut().enter(&caller, class);
        Rc::new(Self { state: state.clone(), caller, class })
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.state.shares.borrow_mut().leave(&self.caller, self.class);
    }
}
