//! A reply that waits for its commits.

use super::{Change, Key};
use shallotflow_core::name::Name;

/// Decisions on a report, not yet committed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Pending {
    /// The worker that reported.
    pub(super) worker: Name,
    /// Tasks to start.
    pub(super) grants: Vec<Item>,
    /// Tasks to stop.
    pub(super) stops: Vec<Key>,
    /// Tasks whose last phase is being recorded.
    pub(super) settled: Vec<Item>,
    /// Whether the report was taken; a stale one renews nothing.
    pub(super) taken: bool,
}

/// A task with the change that has to be committed first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Item {
    pub(super) key: Key,
    pub(super) mark: Change,
}

impl Pending {
    /// The changes that have to be committed before the whole reply may leave.
    pub fn changes(&self) -> impl Iterator<Item = Change> {
        self.grants.iter().chain(&self.settled).map(|item| item.mark)
    }
}
