//! A job as its owner holds it.

use super::Settings;
use crate::injected::{self, Fault};
use shallotflow_core::job::Record;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;

/// A job with what its owner knows beyond the record.
#[derive(Clone, Debug)]
pub(super) struct Job {
    /// The record with every change, committed or not.
    pub(super) record: Record,
    /// The record as last committed.
    pub(super) committed: Option<Record>,
    /// The number of the last change.
    pub(super) change: u64,
    /// Where it stands among the changes that wait for a commit.
    pub(super) dirty_at: Option<u64>,
    /// The segment that holds its specification, and the bytes there.
    pub(super) spec_at: Place,
    /// The segment that holds its newest status, and the bytes there.
    pub(super) status_at: Place,
    /// The report that the current attempt was granted on, if this owner granted it.
    pub(super) granted: Option<Granted>,
    /// Whether a report has listed the current attempt.
    pub(super) heard: bool,
    /// Whether an attempt has started from the checkpoint of the record.
    pub(super) spent: bool,
    /// When it may be granted again after a failure.
    pub(super) not_before: Time,
    /// The worker on which it failed last.
    pub(super) avoid: Option<Name>,
    /// Whether it is past its retention and is left out when its segment is compacted.
    pub(super) expired: bool,
}

/// Where a part of a job lies in the log; segment 0 for nowhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Place {
    pub(super) segment: u64,
    pub(super) bytes: usize,
}

/// The report that a grant answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Granted {
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
            spec_at: Place::default(),
            status_at: Place::default(),
            granted: None,
            heard: false,
            spent: false,
            not_before: Time::ZERO,
            avoid: None,
            expired: false,
        }
    }

    /// Whether it may run again after it was surely stopped.
    ///
    /// A job that is not idempotent starts at most once from each checkpoint.
    pub(super) fn is_resumable(&self) -> bool {
        let spent = self.spent && !injected::is_on(Fault::CheckpointReused);
        let has_fresh_checkpoint = self.record.checkpoint.is_some() && !spent;
        self.record.spec.idempotent || has_fresh_checkpoint
    }

    /// The bytes that it keeps alive in the log.
    pub(super) fn live_bytes(&self) -> usize {
        if self.expired { 0 } else { self.spec_at.bytes + self.status_at.bytes }
    }

    /// When it may be granted again after its last failure.
    pub(super) fn retry_at(&self, settings: &Settings, now: Time) -> Time {
        let doublings = self.record.failures.saturating_sub(1).min(10);
        now.after(settings.retry_delay * (1 << doublings))
    }
}
