//! The segments of a ledger that are in the store.

use shallotflow_core::name::Name;
use std::collections::BTreeMap;

/// The segments in the store, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct Log {
    segments: BTreeMap<u64, Stored>,
    bytes: usize,
    last: u64,
}

/// A segment in the store.
#[derive(Clone, Debug)]
pub(super) struct Stored {
    pub(super) bytes: usize,
    pub(super) jobs: Vec<Name>,
}

impl Log {
    /// The number of the next segment.
    pub(super) fn next(&self) -> u64 {
        self.last + 1
    }

    /// The segments, oldest first.
    pub(super) fn segments(&self) -> impl Iterator<Item = (u64, &Stored)> {
        self.segments.iter().map(|(sequence, stored)| (*sequence, stored))
    }

    /// How many segments there are.
    pub(super) fn len(&self) -> usize {
        self.segments.len()
    }

    /// The bytes of all segments.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds a segment that is in the store.
    pub(super) fn insert(&mut self, sequence: u64, stored: Stored) {
        self.bytes += stored.bytes;
        self.last = self.last.max(sequence);
        self.segments.insert(sequence, stored);
    }

    /// Takes out a segment that was deleted; returns it.
    pub(super) fn remove(&mut self, sequence: u64) -> Option<Stored> {
        let stored = self.segments.remove(&sequence)?;
        self.bytes -= stored.bytes;
        Some(stored)
    }
}
