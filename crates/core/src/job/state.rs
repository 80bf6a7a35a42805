//! The state of a job.

use crate::name::Name;
use serde::{Deserialize, Serialize};

/// The state of a job, as recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum State {
    /// Waiting for a worker.
    Queued,
    /// A start on `worker` is committed; the job may be running.
    Started {
        /// The worker that holds the grant.
        worker: Name,
        /// The boot identifier of the worker, which changes when the worker restarts.
        boot: u64,
    },
    /// Completed successfully.
    Done,
    /// Failed in every allowed attempt.
    Failed {
        /// The reason why the last attempt failed.
        reason: String,
    },
    /// Cancelled by its caller or an operator.
    Cancelled,
    /// May have run and must not be run again.
    Unknown {
        /// The reason why the outcome is unknown.
        reason: String,
    },
    /// Exceeds the capacity of every current worker; waiting for a worker that fits.
    Parked {
        /// The reason why no current worker fits.
        reason: String,
    },
}

impl State {
    /// The names of all states.
    pub const NAMES: [&str; 7] =
        ["queued", "started", "done", "failed", "cancelled", "unknown", "parked"];

    /// Whether the state is final.
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
