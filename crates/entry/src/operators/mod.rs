//! Readiness and state dump for operators.

mod dump;

use crate::state::State;
use shallotflow_runtime::operators::{Inspect, NotReady};
use std::rc::Rc;

/// Serves the readiness and the state dump of an entry.
pub(crate) struct Inspector {
    state: Rc<State>,
}

impl Inspector {
    pub(crate) fn new(state: Rc<State>) -> Self {
        Self { state }
    }
}

impl Inspect for Inspector {
    fn ready(&self) -> Result<(), NotReady> {
        // An entry without targets is ready too: it relays requests to another entry.
        Ok(())
    }

    fn dump(&self) -> serde_json::Value {
        dump::write(&self.state)
    }
}
