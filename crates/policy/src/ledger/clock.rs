//! The current time, as passed to the table.

use shallotflow_core::time::Time;

/// A simultaneous reading of the monotonic and the wall clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockReading {
    /// Monotonic time, for leases and deadlines.
    pub now: Time,
    /// Wall-clock time for records, milliseconds since the Unix epoch.
    pub unix_ms: u64,
}
