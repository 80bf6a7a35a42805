//! What came of the jobs of one kind.

use super::tally::{Latencies, latencies};

/// What came of the jobs of one kind.
#[derive(Clone, Debug)]
pub struct Jobs {
    /// Jobs due.
    pub due: u64,
    /// Jobs that the system took.
    pub submitted: u64,
    /// Jobs that the system refused for good.
    pub refused: u64,
    /// Jobs done.
    pub done: u64,
    /// Jobs that failed on every attempt.
    pub failed: u64,
    /// Jobs cancelled.
    pub cancelled: u64,
    /// Jobs of which nothing is known.
    pub unknown: u64,
    /// Jobs set aside because no worker holds them.
    pub parked: u64,
    /// Jobs that the system took and then denied.
    pub lost: u64,
    /// Submissions sent again with the same key.
    pub resubmitted: u64,
    /// Jobs that were cancelled before any start, by identifier.
    pub never_run: Vec<String>,
    /// Time from when a job was due to when it was seen done.
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
    /// Adds what another stream counted.
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
        // Histograms with the same bounds always add up.
        let _ = self.turnaround.add(&other.turnaround);
    }

    /// Jobs taken that have not come to an end.
    pub fn open(&self) -> u64 {
        let ended = self.done + self.failed + self.cancelled + self.unknown + self.lost;
        self.submitted.saturating_sub(ended)
    }
}
