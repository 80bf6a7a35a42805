//! Transactions: comparisons and writes that are applied atomically.

mod compare;
mod write;

pub use compare::Compare;
pub use write::Write;

/// A transaction; all writes are applied if every comparison succeeds, otherwise none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// The comparisons.
    pub compares: Vec<Compare>,
    /// The writes.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds the comparison that `key` was created by `revision`; 0 means that it does not exist.
    #[must_use]
    pub fn created_by(mut self, key: impl Into<String>, revision: i64) -> Self {
        self.compares.push(Compare::CreateRevision { key: key.into(), revision });
        self
    }

    /// Adds the comparison that `key` was last written by `revision`.
    #[must_use]
    pub fn written_by(mut self, key: impl Into<String>, revision: i64) -> Self {
        self.compares.push(Compare::ModRevision { key: key.into(), revision });
        self
    }

    /// Adds a write of `key`, without a lease.
    #[must_use]
    pub fn put(self, key: impl Into<String>, value: impl Into<Vec<u8>>) -> Self {
        self.put_leased(key, value, 0)
    }

    /// Adds a write of `key`, which is deleted when `lease` ends.
    #[must_use]
    pub fn put_leased(
        mut self,
        key: impl Into<String>,
        value: impl Into<Vec<u8>>,
        lease: i64,
    ) -> Self {
        self.writes.push(Write::Put { key: key.into(), value: value.into(), lease });
        self
    }

    /// Adds a deletion of `key`.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(Write::Delete { key: key.into() });
        self
    }
}
