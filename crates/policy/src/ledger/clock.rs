//! The current time, as handed to the systems.

use shallotflow_core::time::Time;

/// The current time on both clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReading {
    /// Monotonic time, for leases and deadlines.
    pub now: Time,
    /// Milliseconds since 1970, for what is recorded.
    pub unix_ms: u64,
}
