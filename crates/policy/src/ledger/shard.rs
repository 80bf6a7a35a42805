//! State of one owned ledger: its log and its uncommitted changes.

use super::log::Log;
use shallotflow_core::job::Record;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::{BTreeMap, BTreeSet};

/// A ledger that this entry owns.
#[derive(Clone, Debug)]
pub(super) struct Shard {
    /// The owner's epoch.
    pub(super) epoch: u64,
    /// Time at which every task that an earlier owner granted or renewed has certainly stopped.
    pub(super) inherited_end: Time,
    /// The stored segments.
    pub(super) log: Log,
    /// Bytes of the log that hold the newest state of jobs.
    pub(super) live_bytes: usize,
    /// Jobs with changes to write, by the first such change of each.
    pub(super) dirty: BTreeMap<u64, Name>,
    /// The sequence number of the last change.
    pub(super) last_change: u64,
    /// The sequence number up to which all changes are in the store.
    pub(super) committed: u64,
    /// The segment whose write is in flight.
    pub(super) in_flight: Option<InFlight>,
    /// Finished jobs by finish time, milliseconds since the Unix epoch.
    pub(super) finished: BTreeSet<(u64, Name)>,
}

/// The contents of a segment whose write is in flight.
#[derive(Clone, Debug)]
pub(super) struct InFlight {
    pub(super) sequence: u64,
    pub(super) bytes: usize,
    pub(super) replaced: Vec<u64>,
    pub(super) written: Vec<Written>,
    /// Expired jobs that are removed together with the replaced segments.
    pub(super) dropped: Vec<Name>,
    /// The sequence number up to which all changes are committed once this segment is stored.
    pub(super) commits_through: u64,
}

/// A job in a segment whose write is in flight.
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
            last_change: 0,
            committed: 0,
            in_flight: None,
            finished: BTreeSet::new(),
        }
    }
}
