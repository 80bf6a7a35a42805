//! The owner of a ledger.

use shallotflow_core::name::Name;

/// The entry that owns a ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Name of the entry.
    pub name: Name,
    /// The store revision that created the owner key; increases with each new owner.
    pub epoch: u64,
    /// The lease that the key is bound to; the key is deleted when the lease ends.
    pub lease: i64,
}
