//! Counts of committed events, for metrics.

use super::shard::Written;
use shallotflow_core::job::{Record, State};

/// Numbers of committed starts and ends since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Started attempts.
    pub started: u64,
    /// Jobs that succeeded.
    pub done: u64,
    /// Jobs that failed on their last allowed attempt.
    pub failed: u64,
    /// Jobs that were cancelled.
    pub cancelled: u64,
    /// Jobs that ended with an unknown outcome.
    pub unknown: u64,
}

impl Totals {
    /// Counts what a committed job adds to its previously committed record `before`.
    pub(super) fn count(&mut self, before: Option<&Record>, written: &Written) {
        let after = &written.record;
        let attempts = before.map_or(0, |before| before.attempts);
        self.started += u64::from(after.attempts.saturating_sub(attempts));
        if before.is_some_and(|before| before.state.is_final()) {
            return;
        }
        match after.state {
            State::Done => self.done += 1,
            State::Failed { .. } => self.failed += 1,
            State::Cancelled => self.cancelled += 1,
            State::Unknown { .. } => self.unknown += 1,
            State::Queued | State::Started { .. } | State::Parked { .. } => {}
        }
    }
}
