//! The outcomes of the jobs of one kind.

use super::tally::{Latencies, latencies};

/// The outcomes of the jobs of one kind.
#[derive(Clone, Debug)]
pub struct Jobs {
    /// Jobs due.
    pub due: u64,
    /// Jobs that the system accepted.
    pub submitted: u64,
    /// Jobs that the system refused permanently.
    pub refused: u64,
    /// Jobs done.
    pub done: u64,
    /// Jobs that failed on every attempt.
    pub failed: u64,
    /// Jobs cancelled.
    pub cancelled: u64,
    /// Jobs whose outcome is unknown.
    pub unknown: u64,
    /// Jobs parked because no worker has the capacity for them.
    pub parked: u64,
    /// Jobs that the system accepted but no longer knows.
    pub lost: u64,
    /// Submissions sent again with the same key.
    pub resubmitted: u64,
    /// Identifiers of jobs that were cancelled before their first start.
    pub never_run: Vec<String>,
    /// Time from when a job was due until a poll showed that it was done.
    pub turnaround: Latencies,
}

impl Default for Jobs {
    fn default() -> Self {
        Self {
            due: 0,
            submitted: 0,
            refused: 0,
            done: 0,
            failed: 0,
            cancelled: 0,
            unknown: 0,
            parked: 0,
            lost: 0,
            resubmitted: 0,
            never_run: Vec::new(),
            turnaround: latencies(),
        }
    }
}

impl Jobs {
    /// Adds the counts of another stream.
    pub fn merge(&mut self, other: &Self) {
        self.due += other.due;
        self.submitted += other.submitted;
        self.refused += other.refused;
        self.done += other.done;
        self.failed += other.failed;
        self.cancelled += other.cancelled;
        self.unknown += other.unknown;
        self.parked += other.parked;
        self.lost += other.lost;
        self.resubmitted += other.resubmitted;
        self.never_run.extend_from_slice(&other.never_run);
        // Adding histograms with the same bounds never fails.
        let _ = self.turnaround.add(&other.turnaround);
    }

    /// Accepted jobs that have not ended.
    pub fn open(&self) -> u64 {
        let ended = self.done + self.failed + self.cancelled + self.unknown + self.lost;
        self.submitted.saturating_sub(ended)
    }
}
