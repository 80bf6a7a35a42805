//! Replies whose changes are not committed yet.

use super::{Change, Key};
use shallotflow_core::name::Name;

/// Decisions on a report that may depend on uncommitted changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pending {
    /// The worker that reported.
    pub(super) worker: Name,
    /// Tasks to start.
    pub(super) grants: Vec<Item>,
    /// Tasks to stop.
    pub(super) stops: Vec<Key>,
    /// Tasks whose final phase is being recorded.
    pub(super) settled: Vec<Item>,
    /// Whether the report was accepted; a stale one renews no leases.
    pub(super) accepted: bool,
}

/// A task and the change that must be committed before the reply may include it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Item {
    pub(super) key: Key,
    pub(super) change: Change,
}

impl Pending {
    /// Returns the changes that must be committed before the complete reply may be sent.
    pub fn changes(&self) -> impl Iterator<Item = Change> {
        self.grants.iter().chain(&self.settled).map(|item| item.change)
    }
}
