//! Replies of ledger owners to reports.

use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::task::Key;
use shallotflow_core::time::Time;
use std::time::Duration;

/// A ledger with the epoch of its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owned {
    /// The ledger.
    pub ledger: u32,
    /// The owner's epoch.
    pub epoch: u64,
}

/// A task to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The task.
    pub key: Key,
    /// The owner's epoch.
    pub epoch: u64,
    /// The caller that submitted the job.
    pub caller: Name,
    /// The kind of work.
    pub kind: Name,
    /// The resources that the job declares.
    pub resources: Bundle,
    /// The run time that the owner expects.
    pub expected_run: Duration,
    /// Whether the job may run more than once.
    pub idempotent: bool,
    /// The checkpoint to resume from; empty to start from the beginning.
    pub checkpoint: String,
    /// The body passed to the task.
    pub payload: String,
    /// The priority; tasks of higher priority are evicted last.
    pub priority: u8,
}

/// A task to stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopOrder {
    /// The task.
    pub key: Key,
    /// The owner's epoch.
    pub epoch: u64,
}

/// The reply of an owner to one report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// Time at which the report was sent.
    pub sent: Time,
    /// Length of the leases, counted from `sent`.
    pub lease: Duration,
    /// Tasks that the report listed.
    pub reported: Vec<Key>,
    /// Ledgers that the sender owns, whose task leases the reply renews.
    pub owned: Vec<Owned>,
    /// Tasks to start.
    pub grants: Vec<Grant>,
    /// Tasks to stop.
    pub stops: Vec<StopOrder>,
    /// Tasks whose end is committed, so that they may be forgotten.
    pub settled: Vec<Key>,
}
