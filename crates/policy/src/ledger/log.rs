//! Index of the stored segments of a ledger.

use shallotflow_core::name::Name;
use std::collections::BTreeMap;

/// The stored segments of a ledger, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct Log {
    segments: BTreeMap<u64, Stored>,
    bytes: usize,
    last: u64,
}

/// A stored segment.
#[derive(Clone, Debug)]
pub(super) struct Stored {
    pub(super) bytes: usize,
    pub(super) jobs: Vec<Name>,
}

impl Log {
    /// Returns the sequence number of the next segment.
    pub(super) fn next(&self) -> u64 {
        self.last + 1
    }

    /// Iterates over the segments, oldest first.
    pub(super) fn segments(&self) -> impl Iterator<Item = (u64, &Stored)> {
        self.segments.iter().map(|(sequence, stored)| (*sequence, stored))
    }

    /// Returns the number of segments.
    pub(super) fn len(&self) -> usize {
        self.segments.len()
    }

    /// Returns the total size of all segments in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds a stored segment.
    pub(super) fn insert(&mut self, sequence: u64, stored: Stored) {
        self.bytes += stored.bytes;
        self.last = self.last.max(sequence);
        self.segments.insert(sequence, stored);
    }

    /// Removes a deleted segment and returns it.
    pub(super) fn remove(&mut self, sequence: u64) -> Option<Stored> {
        let stored = self.segments.remove(&sequence)?;
        self.bytes -= stored.bytes;
        Some(stored)
    }
}
