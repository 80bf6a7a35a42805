//! Small faults that tests switch on to show that a check can fail.
//!
//! Without the feature `planted`, which only tests turn on, every fault is off and the question
//! whether one is on costs nothing.

use std::fmt;

/// A fault in one decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// An owner grants before the start is committed.
    GrantBeforeCommit,
    /// A new owner does not wait for the leases of the earlier one.
    GrantBeforeLeaseEnd,
    /// An owner counts a lease as passed as soon as a worker misses a beat.
    LeaseEndsEarly,
    /// A job that may run once runs again after its worker was lost.
    RerunOfUnknown,
    /// A job that may run once resumes from the same checkpoint again.
    CheckpointReused,
    /// A cancelled job is queued again when its attempt ends.
    CancelIgnored,
    /// An owner acknowledges the end of a task before the end is committed.
    AckBeforeCommit,
    /// A failed job that may run once is tried again.
    RetryOfFailed,
    /// An agent takes grants and renewals of a lower epoch.
    FenceSkipped,
    /// An agent counts a lease from the arrival of the reply.
    LeaseFromArrival,
    /// A worker's room does not count the batch work that runs.
    BatchUsageIgnored,
    /// A revision below the one in force is accepted.
    RevisionRollback,
    /// A request that may run once is retried after an unknown outcome.
    RetryOfUnknown,
    /// A report of an earlier incarnation replaces that of a later one.
    OlderIncarnation,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

#[cfg(feature = "planted")]
thread_local! {
    static PLANTED: std::cell::Cell<Option<Fault>> = const { std::cell::Cell::new(None) };
}

/// Runs `work` with `fault` switched on in this thread.
#[cfg(feature = "planted")]
pub fn with<T>(fault: Fault, work: impl FnOnce() -> T) -> T {
    PLANTED.set(Some(fault));
    let result = work();
    PLANTED.set(None);
    result
}

/// Whether `fault` is switched on.
#[cfg(feature = "planted")]
pub(crate) fn is_on(fault: Fault) -> bool {
    PLANTED.get() == Some(fault)
}

/// Whether `fault` is switched on.
#[cfg(not(feature = "planted"))]
pub(crate) const fn is_on(_: Fault) -> bool {
    false
}
