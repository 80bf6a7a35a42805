//! Position of a change in a ledger, used to wait for its commit.

/// A numbered change that one owner made to one ledger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Change {
    /// The ledger.
    pub ledger: u32,
    /// The owner's epoch.
    pub epoch: u64,
    /// The sequence number of the change.
    pub number: u64,
}
