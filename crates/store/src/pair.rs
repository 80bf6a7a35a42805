//! A stored key with its value and revisions.

use serde::Serialize;

/// A key as the store holds it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Pair {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision that created the key; changes when it is deleted and created again.
    pub create_revision: i64,
    /// The revision that last wrote the key.
    pub mod_revision: i64,
    /// The lease that the key ends with, 0 for none.
    pub lease: i64,
}
