//! Broken promises, by name.

use serde::{Deserialize, Serialize};

/// How often each promise was broken, as seen from outside of the scheduler.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Violations {
    /// A worker was given more than it can hold.
    pub capacity: u64,
    /// A job ran more than once at a time.
    pub one_worker_at_a_time: u64,
    /// A checkpoint was resumed from more than once.
    pub resume_once: u64,
    /// An answer was mixed up or truncated.
    pub whole_answer: u64,
    /// A request that was said not to have run did run.
    pub not_run_means_not_run: u64,
    /// A non-idempotent request or job ran more than once.
    pub at_most_once: u64,
    /// Work started on a target that had been leaving for some seconds.
    pub leaving_gets_nothing: u64,
    /// A planned stop cut off a request in progress.
    pub graceful_stop: u64,
    /// An accepted configuration was replaced by an earlier one.
    pub config_never_reverts: u64,
}

impl Violations {
    /// Each promise with its count, in the order of the report.
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

    /// The sum over all promises.
    pub fn total(&self) -> u64 {
        self.by_name().iter().map(|(_, count)| count).sum()
    }

    /// The sum for each promise.
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

    /// The names of the promises that were broken, with their counts.
    pub fn describe(&self) -> String {
        let describe = self.by_name().into_iter().filter(|(_, count)| *count > 0);
        let describe: Vec<_> = describe.map(|(name, count)| format!("{name} {count}")).collect();
        if describe.is_empty() { "none".to_owned() } else { describe.join(", ") }
    }
}
