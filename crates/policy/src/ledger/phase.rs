//! How far a worker got with a task.

use serde::{Deserialize, Serialize};

/// The phase of a task at its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Accepted; waits for its start.
    Accepted,
    /// Runs.
    Running,
    /// Ended well.
    Done,
    /// Ended badly.
    Failed,
    /// Checkpointed and stopped to make room.
    Evicted,
    /// Stopped as asked.
    Stopped,
    /// Was never started and never will be.
    Refused,
    /// Stopped because its lease passed.
    Lapsed,
}

impl Phase {
    /// Whether the task occupies its worker no more.
    pub fn has_ended(self) -> bool {
        !matches!(self, Self::Accepted | Self::Running)
    }
}
