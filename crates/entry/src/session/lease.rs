//! The lease as this entry may rely on it.

use shallotflow_core::time::Time;

/// A lease at the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The store's identifier.
    pub id: i64,
    /// Until when it is surely held, counted from the sending of the last renewal.
    pub deadline: Time,
}
