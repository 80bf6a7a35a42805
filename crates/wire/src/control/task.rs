//! What a worker holds.

use super::{Key, Phase};
use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;

/// A batch task as its worker sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Task {
    /// Its identity.
    pub key: Key,
    /// The epoch of the grant that started it.
    pub epoch: u64,
    /// The kind of work.
    pub kind: Name,
    /// What is set aside for it.
    pub resources: Bundle,
    /// How far it has come.
    pub phase: Phase,
    /// The last checkpoint taken, empty if none.
    pub checkpoint: String,
    /// Why it ended, if not well.
    pub reason: String,
    /// Time spent running in this attempt, milliseconds.
    pub run_ms: u64,
    /// Time spent running since the last checkpoint, milliseconds.
    pub unsaved_ms: u64,
    /// Until when it may run without a renewal.
    pub deadline_us: u64,
}

/// A request that the target is working on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ActiveRequest {
    /// The identifier that the agent gave it.
    pub id: Name,
    /// The kind of work.
    pub kind: Name,
    /// What is set aside for it.
    pub resources: Bundle,
}
