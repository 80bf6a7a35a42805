use super::Incarnation;
use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;

/// Whether a worker accepts tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// It accepts tasks.
    Ready,
    /// It is about to leave and accepts no new tasks.
    Draining {
        /// Minimum time that it stays after the report, milliseconds.
        remaining_ms: u64,
    },
    /// It does not answer its agent and may still run tasks.
    Silent,
    /// It does not answer and its last lease has ended, so it runs nothing.
    Empty,
}

/// A worker as known to its agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Profile {
    /// Incarnation of the worker.
    #[serde(rename = "lifetime")]
    pub incarnation: Incarnation,
    /// Service that the worker belongs to.
    pub service: Name,
    /// Total resources.
    pub capacity: Bundle,
    /// Labels of the worker.
    pub labels: Vec<Name>,
    /// Rack, if one of the labels names it.
    pub rack: Option<Name>,
    /// Whether it accepts tasks.
    #[serde(rename = "standing")]
    pub status: Status,
    /// Failure domain of the worker; empty if it is not known.
    #[serde(default)]
    pub failure_domain: Name,
    /// For how long the worker remains slow after its return, milliseconds.
    #[serde(default)]
    pub cold_remaining_ms: u64,
}
