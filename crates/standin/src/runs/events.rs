use super::Event;
use serde::{Deserialize, Serialize};
use shallotflow_wire::control::Call;

/// Reads the events after a given one; not part of the interface between agents and workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// Number of the last event that the client has already read.
    pub after: u64,
}

impl Call for Events {
    const PATH: &'static str = "/runs/facts";
    /// Start of this incarnation of the worker, in milliseconds since the Unix epoch, and the
    /// events.
    type Reply = (u64, Vec<Event>);
}
