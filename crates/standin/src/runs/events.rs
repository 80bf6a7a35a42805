use super::Event;
use serde::{Deserialize, Serialize};
use shallotflow_wire::control::Call;

/// Reads what happened since; not a part of the workers' interface.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// The number of the last fact that is known.
    pub after: u64,
}

impl Call for Events {
    const PATH: &'static str = "/runs/facts";
    /// When this life of the worker began, milliseconds since 1970, and the facts.
    type Reply = (u64, Vec<Event>);
}
