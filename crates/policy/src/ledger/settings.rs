//! Settings of the decisions on batch jobs.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How batch jobs are granted, recovered and kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// How long a task runs after the report that last renewed it.
    pub task_lease: Duration,
    /// By how much the clocks of two processes may differ over a lease, parts per thousand.
    pub drift_permille: u32,
    /// How many attempts of a job may fail or be lost.
    pub failures_max: u32,
    /// How long a job waits after its first failure; doubles with each.
    pub retry_delay: Duration,
    /// How many jobs may wait here.
    pub waiting_max: usize,
    /// How many jobs of one caller may wait here.
    pub caller_waiting_max: usize,
    /// How many finished jobs each ledger keeps.
    pub finished_max: usize,
    /// How long a finished job is kept.
    pub finished_age: Duration,
    /// After how many failures in a row a worker is set aside.
    pub aside_failures: u32,
    /// How long a worker is set aside at first; doubles with each further failure.
    pub aside_span: Duration,
    /// The largest share of the workers that may be set aside, percent.
    pub aside_percent: u32,
    /// After how long a silent worker's capacity is forgotten.
    pub worker_memory: Duration,
    /// The largest body of a segment, bytes.
    pub segment_bytes: usize,
    /// How many segments a small log may have before it is compacted.
    pub segments_min: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            task_lease: Duration::from_secs(5),
            drift_permille: 50,
            failures_max: 5,
            retry_delay: Duration::from_millis(500),
            waiting_max: 500_000,
            caller_waiting_max: 100_000,
            finished_max: 2_000,
            finished_age: Duration::from_secs(24 * 3_600),
            aside_failures: 3,
            aside_span: Duration::from_secs(10),
            aside_percent: 34,
            worker_memory: Duration::from_secs(60),
            segment_bytes: 100_000,
            segments_min: 256,
        }
    }
}

impl Settings {
    /// How long after its last renewal a task has surely stopped, on any clock of the fleet.
    pub fn lease_wait(&self) -> Duration {
        self.task_lease + self.task_lease * self.drift_permille / 1_000
    }
}
