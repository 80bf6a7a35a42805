//! Clocks that keep running while the host is suspended.

use shallotflow_core::time::{Clock, Time};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time since the host started, suspended time included.
///
/// Other processes keep acting on deadlines while this host is suspended. With suspended time
/// included, a process that resumes sees that those deadlines have passed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Boottime;

impl Clock for Boottime {
    fn now(&self) -> Time {
        let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
        let nanos = u64::try_from(now.tv_nsec).unwrap_or(0);
        Time::ZERO.after(Duration::from_secs(seconds)).after(Duration::from_nanos(nanos))
    }
}

/// The wall-clock time in milliseconds since 1970; may jump.
pub fn wall_ms() -> u64 {
    wall_us() / 1_000
}

/// The wall-clock time in microseconds since 1970; may jump.
pub fn wall_us() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}
