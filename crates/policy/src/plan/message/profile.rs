use super::Incarnation;
use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;

/// Whether a worker takes tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// It takes tasks.
    Ready,
    /// It will leave; it takes no new tasks.
    Draining {
        /// How long it stays at least, milliseconds after the report.
        remaining_ms: u64,
    },
    /// It does not answer its agent, and may still run tasks.
    Silent,
    /// It does not answer, and its last lease has ended: it runs nothing.
    Empty,
}

/// A worker as its agent knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// Which life of the worker this is.
    #[serde(rename = "lifetime")]
    pub incarnation: Incarnation,
    /// The service that it works for.
    pub service: Name,
    /// What it can hold.
    pub capacity: Bundle,
    /// Its labels.
    pub labels: Vec<Name>,
    /// Its rack, when one of the labels names it.
    pub rack: Option<Name>,
    /// Whether it takes tasks.
    #[serde(rename = "standing")]
    pub status: Status,
}
