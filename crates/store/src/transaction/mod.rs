//! Comparisons and writes that are applied together or not at all.

mod compare;
mod write;

pub use compare::Compare;
pub use write::Write;

/// A transaction: if every comparison holds, every write is applied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transaction {
    /// What must hold.
    pub compares: Vec<Compare>,
    /// What is then written.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds the comparison that `key` was created by `revision`, 0 for a key that does not exist.
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

    /// Adds a write of `key` that ends with `lease`.
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
