//! What must hold for a transaction to be applied.

/// A comparison of a key's revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Compare {
    /// The key was created by the revision; 0 means that it does not exist.
    CreateRevision {
        /// The key.
        key: String,
        /// The expected revision.
        revision: i64,
    },
    /// The key was last written by the revision; 0 means that it does not exist.
    ModRevision {
        /// The key.
        key: String,
        /// The expected revision.
        revision: i64,
    },
}

impl Compare {
    /// The key that is compared.
    pub fn key(&self) -> &str {
        match self {
            Self::CreateRevision { key, .. } | Self::ModRevision { key, .. } => key,
        }
    }
}
