//! What operators see of an entry: its readiness and the dump of its state.

mod dump;

use crate::state::State;
use shallotflow_runtime::operators::{Inspect, NotReady};
use std::rc::Rc;

/// An entry as its operators see it.
pub(crate) struct View {
    state: Rc<State>,
}

impl View {
    pub(crate) fn new(state: Rc<State>) -> Self {
        Self { state }
    }
}

impl Inspect for View {
    fn ready(&self) -> Result<(), NotReady> {
        // An entry without targets passes requests on to another one.
        Ok(())
    }

    fn dump(&self) -> serde_json::Value {
        dump::write(&self.state)
    }
}
