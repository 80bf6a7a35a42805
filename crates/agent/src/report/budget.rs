//! Limits the bytes that a node spends on control.

use shallotflow_core::time::Time;
use std::time::Duration;

/// Bytes a second for reports and their replies, all entries together.
const BYTES_PER_SECOND: u64 = 5_500;
/// Bytes that may be spent at once after a quiet time.
const BURST_BYTES: u64 = 16_000;
/// Bytes that transports add to a report and its reply.
const OVERHEAD_BYTES: u64 = 250;

/// A token bucket of bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    /// When the bucket was, or will be, empty.
    empty: Time,
}

impl Default for Budget {
    fn default() -> Self {
        Self { empty: Time::ZERO }
    }
}

impl Budget {
    /// When the next report may be sent.
    pub(crate) fn ready(&self) -> Time {
        self.empty
    }

    /// Takes the bytes of a report or a reply out of the bucket.
    pub(crate) fn spend(&mut self, bytes: usize, now: Time) {
        let full = now.before(duration(BURST_BYTES));
        let bytes = bytes as u64 + OVERHEAD_BYTES / 2;
        self.empty = self.empty.max(full).after(duration(bytes));
    }
}

/// How long the rate takes for `bytes`.
fn duration(bytes: u64) -> Duration {
    Duration::from_micros(bytes * 1_000_000 / BYTES_PER_SECOND)
}
