//! The results of batch jobs.

use serde::{Deserialize, Serialize};

/// Counts of jobs and their throughput.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Batch {
    /// Jobs that the system accepted.
    pub submitted: u64,
    /// Jobs done.
    pub done: u64,
    /// Jobs whose outcome is unknown.
    pub unknown: u64,
    /// Jobs completed more than once.
    pub duplicates: u64,
    /// Tasks completed per second while the load was sent.
    pub per_second: f64,
    /// Jobs due, including refused ones.
    pub due: u64,
    /// Jobs refused permanently.
    pub refused: u64,
    /// Jobs that failed on every attempt.
    pub failed: u64,
    /// Jobs cancelled.
    pub cancelled: u64,
    /// Jobs that had not ended when the run stopped waiting.
    pub open: u64,
    /// Jobs that the system accepted but no longer knows.
    pub lost: u64,
    /// Submissions sent again with the same key.
    pub resubmitted: u64,
    /// Tasks started at workers.
    pub started: u64,
    /// Median time from when a job was due until a poll showed that it was done, milliseconds.
    pub turnaround_p50_ms: f64,
}
