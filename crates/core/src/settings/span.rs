//! Constructors of durations for the ranges of settings.

use std::time::Duration;

/// A duration of `count` milliseconds.
pub(crate) const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A duration of `count` seconds.
pub(crate) const fn s(count: u64) -> Duration {
    Duration::from_secs(count)
}
