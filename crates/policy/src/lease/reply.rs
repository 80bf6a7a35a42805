//! An owner's decisions, as they come in the reply to a report.

use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::task::Key;
use shallotflow_core::time::Time;
use std::time::Duration;

/// A ledger owned by the sender of a reply.
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
    /// The caller whose job it is.
    pub caller: Name,
    /// The kind of work.
    pub kind: Name,
    /// What it says it needs.
    pub resources: Bundle,
    /// How long the owner expects it to run.
    pub expected_run: Duration,
    /// Whether the job may run again after it may have run.
    pub idempotent: bool,
    /// The checkpoint to resume from, empty for a start from the beginning.
    pub checkpoint: String,
    /// The body handed to the task.
    pub payload: String,
    /// Higher is lost last when room is made.
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

/// The reply to one report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// When the report was sent.
    pub sent: Time,
    /// How long leases hold from then on.
    pub lease: Duration,
    /// The tasks that the report named.
    pub reported: Vec<Key>,
    /// Ledgers that the sender owns.
    pub owned: Vec<Owned>,
    /// Tasks to start.
    pub grants: Vec<Grant>,
    /// Tasks to stop.
    pub stops: Vec<StopOrder>,
    /// Tasks whose end is committed.
    pub settled: Vec<Key>,
}
