//! Statistics of an owned ledger, for operators.

use super::shard::Shard;
use serde::Serialize;

/// Statistics of an owned ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// The ledger.
    pub ledger: u32,
    /// The owner's epoch.
    pub epoch: u64,
    /// Number of stored segments.
    pub segments: usize,
    /// Total size of the stored segments, bytes.
    pub bytes: usize,
    /// Part of this size that holds the newest state of jobs, bytes.
    pub live_bytes: usize,
    /// Number of jobs with uncommitted changes.
    pub uncommitted: usize,
    /// Number of finished jobs within their retention.
    pub finished: usize,
}

impl Summary {
    pub(super) fn of(ledger: u32, shard: &Shard) -> Self {
        let in_flight = shard.in_flight.as_ref().map_or(0, |in_flight| in_flight.written.len());
        Self {
            ledger,
            epoch: shard.epoch,
            segments: shard.log.len(),
            bytes: shard.log.bytes(),
            live_bytes: shard.live_bytes,
            uncommitted: shard.dirty.len() + in_flight,
            finished: shard.finished.len(),
        }
    }
}
