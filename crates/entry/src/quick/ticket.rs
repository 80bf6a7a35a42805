//! Counts a request of a caller as in flight until its response is complete or abandoned.

use super::Request;
use crate::state::State;
use shallotflow_core::class::Class;
use shallotflow_core::name::Name;
use std::rc::Rc;

/// Guard of an admitted request; dropping it ends the count.
pub(super) struct Ticket {
    state: Rc<State>,
    caller: Name,
    class: Class,
}

impl Ticket {
    /// Starts to count a newly admitted request.
    pub(super) fn start(state: &Rc<State>, request: &Request) -> Rc<Self> {
        let (caller, class) = (request.options.caller.clone(), request.options.class);
        state.shares.borrow_mut().enter(&caller, class);
        Rc::new(Self { state: state.clone(), caller, class })
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.state.shares.borrow_mut().leave(&self.caller, self.class);
    }
}
