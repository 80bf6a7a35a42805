use serde::{Deserialize, Serialize};
use shallotflow_core::time::Time;
use std::time::Duration;

/// Share of a lease by which a worker's clock may run slow, percent.
const DRIFT_PERCENT: u32 = 2;
/// Margin on the end of a lease for the time that a renewal is in flight.
const CALL_MARGIN: Duration = Duration::from_millis(60);
/// Margin of the owner beyond that, for the age of the clock readings by which agents renew leases.
const OWNER_MARGIN: Duration = Duration::from_millis(220);

/// The longest lease of the runs at a worker.
///
/// The owner states it in its replies, agents renew leases for no longer, and both derive from it when a
/// worker without contact is certain to run nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Lease {
    /// Its length, milliseconds.
    length_ms: u64,
}

impl Default for Lease {
    fn default() -> Self {
        Self { length_ms: 6_000 }
    }
}

impl Lease {
    /// Creates a lease that lasts for at most `length`, in whole milliseconds.
    pub fn new(length: Duration) -> Self {
        Self { length_ms: u64::try_from(length.as_millis()).unwrap_or(u64::MAX) }
    }

    /// Returns its length on the worker's clock.
    pub fn length(self) -> Duration {
        Duration::from_millis(self.length_ms)
    }

    /// Returns the shorter one of two leases.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        Self { length_ms: self.length_ms.min(other.length_ms) }
    }

    /// Returns up to when an agent may renew leases whose report of the time `sent` was answered.
    pub fn authorised_until(self, sent: Time) -> Time {
        sent.after(self.length())
    }

    /// Returns when a lease has certainly ended on its worker's clock that was renewed at `now` up to
    /// `until`.
    pub fn ended_at(until: Time, now: Time) -> Time {
        until.after(until.remaining(now) * DRIFT_PERCENT / 100).after(CALL_MARGIN)
    }

    /// Returns how long after the receipt of a report the owner waits until the leases that its reply
    /// lets the agent renew have certainly ended.
    pub fn wait(self) -> Duration {
        let length = self.length();
        length + length * DRIFT_PERCENT / 100 + CALL_MARGIN + OWNER_MARGIN
    }
}
