//! The phase of a task.

use serde::{Deserialize, Serialize};

/// The phase of a task on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Accepted and waiting to start on the worker.
    Accepted,
    /// Running.
    Running,
    /// Completed successfully.
    Done,
    /// Failed.
    Failed,
    /// Checkpointed and stopped to free resources for other work.
    Evicted,
    /// Stopped on request.
    Stopped,
    /// Rejected without having started.
    Refused,
    /// Stopped because its lease expired.
    Lapsed,
}

impl Phase {
    /// Whether the phase is final.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Accepted | Self::Running)
    }
}
