//! Changes under a prefix, in order and without gaps.

use crate::error::Result;
use crate::pair::Pair;
use async_trait::async_trait;

/// A change of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(Pair),
    /// The key was deleted, or its lease ended.
    Delete {
        /// The key.
        key: String,
        /// The revision that deleted it.
        revision: i64,
    },
}

/// Changes of one or more revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// The changes in the order in which they were made.
    pub changes: Vec<Change>,
    /// The last revision that is covered; a new watch goes on from the next one.
    pub revision: i64,
}

/// A stream of changes; ends with an error and is then opened anew.
#[async_trait(?Send)]
pub trait Watch {
    /// Waits for the next changes.
    ///
    /// # Errors
    ///
    /// `Compacted` when the store no longer has the wanted revisions, `Unavailable` when the
    /// stream broke.
    async fn next(&mut self) -> Result<Update>;
}
