//! Replies to reports.

use super::{Grant, Key};

/// Decisions for the worker that reported; they depend on committed changes only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// Tasks to start.
    pub grants: Vec<Grant>,
    /// Tasks to stop, each with the epoch of its ledger.
    pub stops: Vec<(Key, u64)>,
    /// Tasks whose final phase is committed, so that the agent may forget them.
    pub settled: Vec<Key>,
    /// Ledgers for which the reply renews task leases, with their epochs.
    pub owned: Vec<(u32, u64)>,
}
