//! A change of a ledger that waits for its commit.

/// A change of one ledger under one owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Change {
    /// The ledger.
    pub ledger: u32,
    /// The owner's epoch.
    pub epoch: u64,
    /// The number of the change.
    pub number: u64,
}
