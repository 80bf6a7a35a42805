//! Watches: the changes under a prefix, in order and without gaps.

use crate::error::Result;
use crate::pair::Pair;
use async_trait::async_trait;

/// A change to one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(Pair),
    /// The key was deleted, explicitly or with its lease.
    Delete {
        /// The key.
        key: String,
        /// The revision that deleted it.
        revision: i64,
    },
}

/// The changes of one or more revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// The changes in revision order.
    pub changes: Vec<Change>,
    /// The last revision included; a new watch continues from the next one.
    pub revision: i64,
}

/// A stream of changes; after an error, open a new watch.
#[async_trait(?Send)]
pub trait Watch {
    /// Waits for the next changes.
    ///
    /// # Errors
    ///
    /// `Compacted` if the requested revisions are compacted, `Unavailable` if the stream is
    /// interrupted.
    async fn next(&mut self) -> Result<Update>;
}
