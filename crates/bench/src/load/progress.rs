//! Live counts of a load.

use shallotflow_core::outcome::Outcome;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Counts that the progress display reads during a run; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    sent: AtomicU64,
    done: AtomicU64,
    not_run: AtomicU64,
    unknown: AtomicU64,
    submitted: AtomicU64,
    finished: AtomicU64,
}

impl Progress {
    pub(super) fn record_sent(&self) {
        self.counts.sent.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn record_end(&self, outcome: Outcome) {
        let count = match outcome {
            Outcome::Done => &self.counts.done,
            Outcome::NotRun => &self.counts.not_run,
            Outcome::Unknown => &self.counts.unknown,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn job_submitted(&self) {
        self.counts.submitted.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn job_done(&self) {
        self.counts.finished.fetch_add(1, Ordering::Relaxed);
    }

    /// Formats the counts as one line.
    pub fn line(&self) -> String {
        let count = |count: &AtomicU64| count.load(Ordering::Relaxed);
        format!(
            "requests {} sent {} done {} not run {} unknown | jobs {} taken {} done",
            count(&self.counts.sent),
            count(&self.counts.done),
            count(&self.counts.not_run),
            count(&self.counts.unknown),
            count(&self.counts.submitted),
            count(&self.counts.finished),
        )
    }
}
