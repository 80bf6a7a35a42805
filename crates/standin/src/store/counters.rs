//! Counts of the calls to the stand-in store.

use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Cumulative counters; clones share them, across threads.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    reads: AtomicU64,
    writes: AtomicU64,
    keep_alives: AtomicU64,
    watches: AtomicU64,
    bytes_read: AtomicU64,
    bytes_written: AtomicU64,
}

/// A snapshot of the counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Reading {
    /// Number of range reads.
    pub reads: u64,
    /// Number of transactions, lease grants and lease revocations.
    pub writes: u64,
    /// Number of lease renewals.
    pub keep_alives: u64,
    /// Number of watches opened.
    pub watches: u64,
    /// Size of the keys and values sent, in bytes.
    pub bytes_read: u64,
    /// Size of the keys and values received, in bytes.
    pub bytes_written: u64,
}

impl Reading {
    /// The number of calls of all kinds.
    pub fn calls(&self) -> u64 {
        self.reads + self.writes + self.keep_alives + self.watches
    }

    /// The difference to the `earlier` reading.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            reads: self.reads - earlier.reads,
            writes: self.writes - earlier.writes,
            keep_alives: self.keep_alives - earlier.keep_alives,
            watches: self.watches - earlier.watches,
            bytes_read: self.bytes_read - earlier.bytes_read,
            bytes_written: self.bytes_written - earlier.bytes_written,
        }
    }
}

impl Counters {
    /// Reads the current counts.
    pub fn read(&self) -> Reading {
        let load = |counter: &AtomicU64| counter.load(Ordering::SeqCst);
        Reading {
            reads: load(&self.shared.reads),
            writes: load(&self.shared.writes),
            keep_alives: load(&self.shared.keep_alives),
            watches: load(&self.shared.watches),
            bytes_read: load(&self.shared.bytes_read),
            bytes_written: load(&self.shared.bytes_written),
        }
    }

    pub(super) fn count_read(&self, bytes: usize) {
        add(&self.shared.reads, 1);
        add(&self.shared.bytes_read, bytes);
    }

    pub(super) fn count_write(&self, bytes: usize) {
        add(&self.shared.writes, 1);
        add(&self.shared.bytes_written, bytes);
    }

    pub(super) fn count_keep_alive(&self) {
        add(&self.shared.keep_alives, 1);
    }

    pub(super) fn count_watch(&self) {
        add(&self.shared.watches, 1);
    }
}

fn add(counter: &AtomicU64, count: usize) {
    counter.fetch_add(count as u64, Ordering::SeqCst);
}
