//! Writes of a transaction.

/// A write of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Writes the key.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// The lease that the key is attached to, 0 for none.
        lease: i64,
    },
    /// Deletes the key if it exists.
    Delete {
        /// The key.
        key: String,
    },
}
