//! Broken promises, counted by name.

use serde::{Deserialize, Serialize};

/// How often each promise was broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Violations {
    /// A start that a worker's free resources did not hold.
    pub capacity_exceeded: u64,
    /// Memory really used beyond a worker's capacity.
    pub memory_exhausted: u64,
    /// A job that ran on two workers, or twice on one, at once.
    pub job_ran_twice_at_once: u64,
    /// A checkpoint that more than one attempt resumed from.
    pub resumed_twice: u64,
    /// A non-idempotent job or request that ran more than once.
    pub ran_more_than_once: u64,
    /// Work that started on a target that had been leaving for longer than its grace.
    pub started_on_leaving: u64,
    /// A request that a planned stop cut off.
    pub cut_off_by_stop: u64,
}

impl Violations {
    /// The sum over all promises.
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
