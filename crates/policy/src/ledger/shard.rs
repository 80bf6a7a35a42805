//! One owned ledger: its log and the changes that wait for a commit.

use super::log::Log;
use shallotflow_core::job::Record;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::{BTreeMap, BTreeSet};

/// A ledger owned here.
#[derive(Clone, Debug)]
pub(super) struct Shard {
    /// The owner's epoch.
    pub(super) epoch: u64,
    /// When every task that an earlier owner granted or renewed has surely stopped.
    pub(super) inherited_end: Time,
    /// What is in the store.
    pub(super) log: Log,
    /// The bytes that jobs keep alive in the log.
    pub(super) live_bytes: usize,
    /// Jobs with changes that wait for a commit, by their first such change.
    pub(super) dirty: BTreeMap<u64, Name>,
    /// The number of the last change.
    pub(super) changes: u64,
    /// Every change up to this one is in the store.
    pub(super) committed: u64,
    /// The segment that is being written.
    pub(super) flying: Option<Flying>,
    /// Finished jobs by the time when they finished.
    pub(super) finished: BTreeSet<(u64, Name)>,
}

/// What a segment that is being written holds.
#[derive(Clone, Debug)]
pub(super) struct Flying {
    pub(super) sequence: u64,
    pub(super) bytes: usize,
    pub(super) replaced: Vec<u64>,
    pub(super) entries: Vec<Written>,
    /// Finished jobs that end with the replaced segments.
    pub(super) dropped: Vec<Name>,
    /// The last change that is in the store once this segment is.
    pub(super) covers: u64,
}

/// A job in a segment that is being written.
#[derive(Clone, Debug)]
pub(super) struct Written {
    pub(super) record: Record,
    pub(super) has_spec: bool,
    pub(super) has_status: bool,
    pub(super) spec_bytes: usize,
    pub(super) status_bytes: usize,
}

impl Shard {
    pub(super) fn new(epoch: u64, inherited_end: Time) -> Self {
        Self {
            epoch,
            inherited_end,
            log: Log::default(),
            live_bytes: 0,
            dirty: BTreeMap::new(),
            changes: 0,
            committed: 0,
            flying: None,
            finished: BTreeSet::new(),
        }
    }
}
