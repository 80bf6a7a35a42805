//! The owner's state of a job.

use super::Settings;
use crate::injected::{self, Fault};
use shallotflow_core::job::Record;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;

/// A job record with the owner's bookkeeping.
#[derive(Clone, Debug)]
pub(super) struct Job {
    /// The record with all changes, including uncommitted ones.
    pub(super) record: Record,
    /// The record as last committed.
    pub(super) committed: Option<Record>,
    /// The sequence number of the last change.
    pub(super) change: u64,
    /// Its key in the shard's `dirty` map while it has changes to write.
    pub(super) dirty_at: Option<u64>,
    /// Where its specification is in the log.
    pub(super) spec_at: Location,
    /// Where its newest status is in the log.
    pub(super) status_at: Location,
    /// The report that was answered with the grant of the current attempt, if this owner granted
    /// it.
    pub(super) granted_on: Option<ReportId>,
    /// Whether a report has listed the current attempt.
    pub(super) listed: bool,
    /// Whether an attempt has already started from the record's checkpoint.
    pub(super) checkpoint_used: bool,
    /// Earliest time of the next grant after a failure.
    pub(super) not_before: Time,
    /// The worker on which the last attempt failed.
    pub(super) avoid: Option<Name>,
    /// Whether it is past its retention, so that compaction drops it.
    pub(super) expired: bool,
}

/// Location of a part of a job in the log; segment 0 means that it is not in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Location {
    pub(super) segment: u64,
    pub(super) bytes: usize,
}

/// Identifies a report of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReportId {
    pub(super) incarnation: u64,
    pub(super) sequence: u64,
}

impl Job {
    pub(super) fn new(record: Record) -> Self {
        Self {
            record,
            committed: None,
            change: 0,
            dirty_at: None,
            spec_at: Location::default(),
            status_at: Location::default(),
            granted_on: None,
            listed: false,
            checkpoint_used: false,
            not_before: Time::ZERO,
            avoid: None,
            expired: false,
        }
    }

    /// Whether it may run again after an attempt that has certainly stopped.
    ///
    /// A job that is not idempotent resumes at most once from each checkpoint.
    pub(super) fn is_resumable(&self) -> bool {
        let used = self.checkpoint_used && !injected::is_on(Fault::CheckpointReused);
        let has_fresh_checkpoint = self.record.checkpoint.is_some() && !used;
        self.record.spec.idempotent || has_fresh_checkpoint
    }

    /// Returns the bytes of the log that still hold its newest state.
    pub(super) fn live_bytes(&self) -> usize {
        if self.expired { 0 } else { self.spec_at.bytes + self.status_at.bytes }
    }

    /// Returns the earliest time of the next grant after a failure: the delay doubles with each
    /// one.
    pub(super) fn retry_at(&self, settings: &Settings, now: Time) -> Time {
        let doublings = self.record.failures.saturating_sub(1).min(10);
        now.after(settings.retry_delay * (1 << doublings))
    }
}
