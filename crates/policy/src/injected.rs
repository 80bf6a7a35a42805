//! Injected faults, with which tests show that their checks can fail.
//!
//! Without the feature `planted`, which only tests enable, every fault is off and testing for one
//! costs nothing.

use std::fmt;

/// Fault in one decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An owner sends a grant before the start is committed.
    GrantBeforeCommit,
    /// A new owner does not wait until the leases of its predecessor have expired.
    GrantBeforeLeaseEnd,
    /// An owner treats a lease as expired as soon as a worker misses a heartbeat.
    LeaseEndsEarly,
    /// A job that is not idempotent runs again after its worker is lost.
    RerunOfUnknown,
    /// A job that is not idempotent resumes from the same checkpoint twice.
    CheckpointReused,
    /// A cancelled job is queued again when its attempt ends.
    CancelIgnored,
    /// An owner acknowledges the end of a task before the end is committed.
    AckBeforeCommit,
    /// A failed job that is not idempotent is retried.
    RetryOfFailed,
    /// An agent accepts grants and renewals of a lower epoch.
    FenceSkipped,
    /// An agent counts a lease from the arrival of the reply, not from the sending of the report.
    LeaseFromArrival,
    /// Admission does not count the batch work that runs on a worker.
    BatchUsageIgnored,
    /// A configuration revision below the one in force is accepted.
    RevisionRollback,
    /// A request that is not idempotent is retried after an unknown outcome.
    RetryOfUnknown,
    /// A report of an older incarnation replaces that of a newer one.
    OlderIncarnation,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

#[cfg(feature = "planted")]
thread_local! {
    static ENABLED: std::cell::Cell<Option<Fault>> = const { std::cell::Cell::new(None) };
}

/// Runs `work` with `fault` enabled in this thread.
#[cfg(feature = "planted")]
pub fn with<T>(fault: Fault, work: impl FnOnce() -> T) -> T {
    ENABLED.set(Some(fault));
    let result = work();
    ENABLED.set(None);
    result
}

/// Whether `fault` is enabled in this thread.
#[cfg(feature = "planted")]
pub(crate) fn is_on(fault: Fault) -> bool {
    ENABLED.get() == Some(fault)
}

/// Whether `fault` is enabled in this thread.
#[cfg(not(feature = "planted"))]
pub(crate) const fn is_on(_: Fault) -> bool {
    false
}
