//! An owned ledger in numbers, for operators.

use super::shard::Shard;
use serde::Serialize;

/// An owned ledger in numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// The ledger.
    pub ledger: u32,
    /// The owner's epoch.
    pub epoch: u64,
    /// Segments in the store.
    pub segments: usize,
    /// Bytes of these segments.
    pub bytes: usize,
    /// Bytes of them that are still needed.
    pub live_bytes: usize,
    /// Jobs with changes that wait for a commit.
    pub uncommitted: usize,
    /// Finished jobs within their retention.
    pub finished: usize,
}

impl Summary {
    pub(super) fn of(ledger: u32, shard: &Shard) -> Self {
        let flying = shard.flying.as_ref().map_or(0, |flying| flying.entries.len());
        Self {
            ledger,
            epoch: shard.epoch,
            segments: shard.log.len(),
            bytes: shard.log.bytes(),
            live_bytes: shard.live_bytes,
            uncommitted: shard.dirty.len() + flying,
            finished: shard.finished.len(),
        }
    }
}
