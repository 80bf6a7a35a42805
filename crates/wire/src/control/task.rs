//! Tasks and requests that a worker holds.

use super::{Key, Phase};
use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;

/// The state of a batch task at its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// The identity of the task.
    pub key: Key,
    /// The epoch of the grant that started it.
    pub epoch: u64,
    /// The kind of work.
    pub kind: Name,
    /// Reserved resources.
    pub resources: Bundle,
    /// Current phase of the task.
    pub phase: Phase,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: String,
    /// The reason for an unsuccessful end.
    pub reason: String,
    /// Time spent running in this attempt, in milliseconds.
    pub run_ms: u64,
    /// Time spent running since the last checkpoint, in milliseconds.
    pub unsaved_ms: u64,
    /// Time until which the task may run unless its lease is renewed, in microseconds of the
    /// worker's clock.
    pub deadline_us: u64,
}

/// A request in progress at the target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ActiveRequest {
    /// The identifier assigned by the agent.
    pub id: Name,
    /// The kind of work.
    pub kind: Name,
    /// Reserved resources.
    pub resources: Bundle,
}
