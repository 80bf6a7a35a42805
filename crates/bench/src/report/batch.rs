//! Batch jobs.

use serde::{Deserialize, Serialize};

/// Counts of jobs and their throughput.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Batch {
    /// Jobs that the system took.
    pub submitted: u64,
    /// Jobs done.
    pub done: u64,
    /// Jobs of which nothing is known.
    pub unknown: u64,
    /// Jobs that ended well more than once.
    pub duplicates: u64,
    /// Tasks that ended well per second while the load was sent.
    pub per_second: f64,
    /// Jobs due, refused ones among them.
    pub due: u64,
    /// Jobs refused for good.
    pub refused: u64,
    /// Jobs that failed on every attempt.
    pub failed: u64,
    /// Jobs cancelled.
    pub cancelled: u64,
    /// Jobs that had not ended when the run was given up.
    pub open: u64,
    /// Jobs that the system took and then denied.
    pub lost: u64,
    /// Submissions sent again with the same key.
    pub resubmitted: u64,
    /// Tasks started at workers.
    pub started: u64,
    /// Median time from when a job was due to when it was seen done, milliseconds.
    pub turnaround_p50_ms: f64,
}
