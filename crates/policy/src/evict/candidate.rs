//! Batch tasks that could make room.

use shallotflow_core::resources::Bundle;
use shallotflow_core::task::Key;

/// A running batch task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The task.
    pub key: Key,
    /// What it holds.
    pub resources: Bundle,
    /// The processor share set for it, thousandths.
    pub share_milli: u32,
    /// What it adds to the run time of quick work at full speed, thousandths.
    pub added_milli: u32,
    /// Time spent running since its last checkpoint, milliseconds.
    pub unsaved_ms: u64,
    /// Urgent tasks go last.
    pub urgent: bool,
    /// Whether it is being stopped already.
    pub stopping: bool,
}
