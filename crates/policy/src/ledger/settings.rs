//! Settings of ledgers.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings for granting, recovering and retaining batch jobs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Length of a task lease, counted from the report that last renewed it.
    pub task_lease: Duration,
    /// Largest drift between the clocks of two processes over a lease, thousandths.
    pub drift_permille: u32,
    /// Number of failed or lost attempts after which a job fails.
    pub failures_max: u32,
    /// Delay before the retry after the first failure; doubles with each further one.
    pub retry_delay: Duration,
    /// Maximum number of waiting jobs.
    pub waiting_max: usize,
    /// Maximum number of waiting jobs of one caller.
    pub caller_waiting_max: usize,
    /// Number of finished jobs that each ledger retains.
    pub finished_max: usize,
    /// Retention time of a finished job.
    pub finished_age: Duration,
    /// Number of consecutive failures after which a worker is ejected.
    #[serde(rename = "aside_failures")]
    pub ejection_failures: u32,
    /// Duration of the first ejection of a worker; doubles with each further failure.
    #[serde(rename = "aside_span")]
    pub ejection_duration: Duration,
    /// Largest share of the workers that may be ejected at once, percent.
    #[serde(rename = "aside_percent")]
    pub max_ejected_percent: u32,
    /// Time without a report after which a worker is removed, with its capacity.
    #[serde(rename = "worker_memory")]
    pub worker_retention: Duration,
    /// Largest body of a segment, bytes; compaction may extend it to twice this size.
    pub segment_bytes: usize,
    /// Number of segments that a log may have before it is compacted, however small it is.
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
            ejection_failures: 3,
            ejection_duration: Duration::from_secs(10),
            max_ejected_percent: 34,
            worker_retention: Duration::from_secs(60),
            segment_bytes: 100_000,
            segments_min: 256,
        }
    }
}

impl Settings {
    /// Returns the time after its last renewal at which a task has certainly stopped, even if the
    /// clock of its worker is slow.
    pub fn lease_wait(&self) -> Duration {
        self.task_lease + self.task_lease * self.drift_permille / 1_000
    }
}
