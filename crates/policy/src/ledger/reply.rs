//! What a report is answered with.

use super::{Grant, Key};

/// Decisions for the worker that reported; everything in it is committed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// Tasks to start.
    pub grants: Vec<Grant>,
    /// Tasks to stop, each with the epoch of its ledger.
    pub stops: Vec<(Key, u64)>,
    /// Tasks whose last phase is recorded.
    pub settled: Vec<Key>,
    /// Ledgers whose task leases the reply renews, with their epochs.
    pub owned: Vec<(u32, u64)>,
}
