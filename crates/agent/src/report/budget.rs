//! Limits the bytes that an agent spends on control traffic.

use shallotflow_core::time::Time;
use std::time::Duration;

/// Rate of reports and their replies, for all entries together.
const BYTES_PER_SECOND: u64 = 5_500;
/// Size of the bucket: the largest burst after an idle period.
const BURST_BYTES: u64 = 16_000;
/// Transport overhead of a report and its reply.
const OVERHEAD_BYTES: u64 = 250;

/// A token bucket of bytes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    /// When the bucket was empty; in the future while it is overdrawn.
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

/// The time in which the bucket gains `bytes`.
fn duration(bytes: u64) -> Duration {
    Duration::from_micros(bytes * 1_000_000 / BYTES_PER_SECOND)
}
