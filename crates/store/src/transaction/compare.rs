//! Preconditions of a transaction.

/// A comparison of a key's revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key was created by `revision`; 0 means that the key does not exist.
    CreateRevision {
        /// The key.
        key: String,
        /// The expected revision.
        revision: i64,
    },
    /// The key was last written by `revision`; 0 means that the key does not exist.
    ModRevision {
        /// The key.
        key: String,
        /// The expected revision.
        revision: i64,
    },
}

impl Compare {
    /// The key whose revision is compared.
    pub fn key(&self) -> &str {
        match self {
            Self::CreateRevision { key, .. } | Self::ModRevision { key, .. } => key,
        }
    }
}
