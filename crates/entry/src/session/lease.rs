//! The lease that this entry holds at the store.

use shallotflow_core::time::Time;

/// A lease at the store, with a conservative local deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The identifier that the store assigned.
    pub id: i64,
    /// The time until which the lease is certainly held, counted from when the last renewal was
    /// sent.
    pub deadline: Time,
}
