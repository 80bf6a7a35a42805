//! The owner of a ledger.

use shallotflow_core::name::Name;

/// Who owns a ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The entry.
    pub name: Name,
    /// The revision that created the owner's key; larger for each later owner.
    pub epoch: u64,
    /// The lease that the key ends with.
    pub lease: i64,
}
