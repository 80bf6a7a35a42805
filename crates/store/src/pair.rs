//! Key-value pairs.

use serde::Serialize;

/// A stored key with its value, revisions and lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision that created the key; a key that is deleted and created again has a new one.
    pub create_revision: i64,
    /// The revision that last wrote the key.
    pub mod_revision: i64,
    /// The lease that the key is attached to, 0 for none.
    pub lease: i64,
}
