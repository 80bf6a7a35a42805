//! How far a task has come.

use serde::{Deserialize, Serialize};

/// The phase of a task at its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Accepted; waits for its start at the worker.
    Accepted,
    /// It runs.
    Running,
    /// It ended well.
    Done,
    /// It ended badly.
    Failed,
    /// It was checkpointed and stopped to make room.
    Evicted,
    /// It was stopped as asked.
    Stopped,
    /// It never started.
    Refused,
    /// It was stopped because its lease passed.
    Lapsed,
}

impl Phase {
    /// Whether the task has ended for good.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Accepted | Self::Running)
    }
}
