//! Points in time and clocks. Tables store deadlines as [`Time`], never as durations.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::{Duration, Instant};

/// Microseconds since the epoch of the [`Clock`] that returned it.
///
/// Two values are comparable only if they come from the same clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(u64);

impl Time {
    /// The epoch of the clock.
    pub const ZERO: Self = Self(0);
    /// A point in time that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// The time `micros` microseconds after the epoch.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The time `millis` milliseconds after the epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Microseconds since the epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Milliseconds since the epoch, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The time `span` later; saturates at [`Time::NEVER`].
    pub fn after(self, span: Duration) -> Self {
        Self(self.0.saturating_add(micros(span)))
    }

    /// The time `span` earlier; saturates at [`Time::ZERO`].
    pub fn before(self, span: Duration) -> Self {
        Self(self.0.saturating_sub(micros(span)))
    }

    /// Time elapsed from `earlier` to `self`; zero if `earlier` is the later one.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Time remaining from `now` until this deadline; zero once it has passed.
    pub fn remaining(self, now: Self) -> Duration {
        self.since(now)
    }

    /// Whether this deadline has passed at `now`.
    pub fn passed(self, now: Self) -> bool {
        now >= self
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// A source of monotonic time.
pub trait Clock {
    /// The current time; never decreases.
    fn now(&self) -> Time;
}

/// The monotonic clock of the host; its epoch is one second before its first use in the process.
///
/// All threads of a process share its epoch.
#[derive(Clone, Copy, Debug, Default)]
pub struct Monotonic;

impl Clock for Monotonic {
    fn now(&self) -> Time {
        static EPOCH: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
        // Add one second so that no reading, and thus no current deadline, equals `Time::ZERO`.
        let epoch = EPOCH.get_or_init(Instant::now);
        Time::ZERO.after(epoch.elapsed()).after(Duration::from_secs(1))
    }
}
