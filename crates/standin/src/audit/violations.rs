//! Counts of violated guarantees.

use serde::{Deserialize, Serialize};

/// How often each guarantee was violated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Violations {
    /// Starts that exceeded the free resources of a worker.
    pub capacity_exceeded: u64,
    /// Usage samples in which a worker's actual memory use exceeded its capacity.
    pub memory_exhausted: u64,
    /// Starts of a job that was already running, on the same worker or another one.
    pub job_ran_twice_at_once: u64,
    /// Repeated resumptions of a non-idempotent job from the same checkpoint.
    pub resumed_twice: u64,
    /// Repeated runs of a non-idempotent job or request.
    pub ran_more_than_once: u64,
    /// Starts on a target that had been leaving for longer than its grace period.
    pub started_on_leaving: u64,
    /// Requests that a planned stop aborted.
    pub cut_off_by_stop: u64,
}

impl Violations {
    /// The number of violations of all guarantees.
    pub fn total(&self) -> u64 {
        self.capacity_exceeded
            + self.memory_exhausted
            + self.job_ran_twice_at_once
            + self.resumed_twice
            + self.ran_more_than_once
            + self.started_on_leaving
            + self.cut_off_by_stop
    }
}
