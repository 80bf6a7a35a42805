//! Violations of guarantees, by name.

use serde::{Deserialize, Serialize};

/// Number of violations of each guarantee, as observed from outside the scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Violations {
    /// A worker was assigned more than its capacity.
    pub capacity: u64,
    /// Two runs of a job overlapped.
    pub one_worker_at_a_time: u64,
    /// A checkpoint was resumed more than once.
    pub resume_once: u64,
    /// An answer was truncated or belonged to another request.
    pub whole_answer: u64,
    /// A request or job that was reported as not run did run.
    pub not_run_means_not_run: u64,
    /// A non-idempotent request or job ran more than once.
    pub at_most_once: u64,
    /// Work started on a target that had been leaving for some seconds.
    pub leaving_gets_nothing: u64,
    /// A graceful stop aborted a request in flight.
    pub graceful_stop: u64,
    /// An accepted configuration was replaced by an earlier one.
    pub config_never_reverts: u64,
}

impl Violations {
    /// Returns each guarantee with its count, in the order of the report.
    pub fn by_name(&self) -> [(&'static str, u64); 9] {
        [
            ("capacity", self.capacity),
            ("one-worker-at-a-time", self.one_worker_at_a_time),
            ("resume-once", self.resume_once),
            ("whole-answer", self.whole_answer),
            ("not-run-means-not-run", self.not_run_means_not_run),
            ("at-most-once", self.at_most_once),
            ("leaving-gets-nothing", self.leaving_gets_nothing),
            ("graceful-stop", self.graceful_stop),
            ("config-never-reverts", self.config_never_reverts),
        ]
    }

    /// Returns the sum over all guarantees.
    pub fn total(&self) -> u64 {
        self.by_name().iter().map(|(_, count)| count).sum()
    }

    /// Returns the sum for each guarantee.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            capacity: self.capacity + other.capacity,
            one_worker_at_a_time: self.one_worker_at_a_time + other.one_worker_at_a_time,
            resume_once: self.resume_once + other.resume_once,
            whole_answer: self.whole_answer + other.whole_answer,
            not_run_means_not_run: self.not_run_means_not_run + other.not_run_means_not_run,
            at_most_once: self.at_most_once + other.at_most_once,
            leaving_gets_nothing: self.leaving_gets_nothing + other.leaving_gets_nothing,
            graceful_stop: self.graceful_stop + other.graceful_stop,
            config_never_reverts: self.config_never_reverts + other.config_never_reverts,
        }
    }

    /// Returns the names of the violated guarantees with their counts, or `none`.
    pub fn describe(&self) -> String {
        let describe = self.by_name().into_iter().filter(|(_, count)| *count > 0);
        let describe: Vec<_> = describe.map(|(name, count)| format!("{name} {count}")).collect();
        if describe.is_empty() { "none".to_owned() } else { describe.join(", ") }
    }
}
