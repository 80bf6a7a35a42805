//! Where a job stands.

use crate::name::Name;
use serde::{Deserialize, Serialize};

/// The state of a job, as recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum State {
    /// Waits for a worker.
    Queued,
    /// A start on `worker` is committed; it may be running.
    Started {
        /// The worker that holds the grant.
        worker: Name,
        /// The worker's boot, which changes when the worker restarts.
        boot: u64,
    },
    /// Ran to its end.
    Done,
    /// Failed on every allowed attempt.
    Failed {
        /// Why the last attempt failed.
        reason: String,
    },
    /// Cancelled by its caller or an operator.
    Cancelled,
    /// May have run, and may not run again.
    Unknown {
        /// Why that is not known.
        reason: String,
    },
    /// No worker of today could hold it; waits for one that can.
    Parked {
        /// What is missing.
        reason: String,
    },
}

impl State {
    /// The names of all states.
    pub const NAMES: [&str; 7] =
        ["queued", "started", "done", "failed", "cancelled", "unknown", "parked"];

    /// Whether the job never changes its state again.
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Done | Self::Failed { .. } | Self::Cancelled | Self::Unknown { .. })
    }

    /// The name used in tables, metrics and logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Started { .. } => "started",
            Self::Done => "done",
            Self::Failed { .. } => "failed",
            Self::Cancelled => "cancelled",
            Self::Unknown { .. } => "unknown",
            Self::Parked { .. } => "parked",
        }
    }
}
