//! The interface of the store.

use crate::error::{Error, Result};
use crate::pair::Pair;
use crate::transaction::Transaction;
use crate::watch::Watch;
use async_trait::async_trait;
use shallotflow_core::list::{Received, Whole};
use std::time::Duration;

/// A consistent read of several pairs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The pairs, ordered by key. A key that they lack is absent in the store if they are whole.
    pub pairs: Received<Pair>,
    /// The store revision of the read; a watch continues from the next one.
    pub revision: i64,
}

impl Snapshot {
    /// All pairs with the prefix.
    ///
    /// # Errors
    ///
    /// Fails if the store may have others.
    pub fn whole(self) -> Result<Whole<Pair>> {
        self.pairs.into_whole().map_err(|part| {
            let rows = part.rows().len();
            Error::Unknown { reason: format!("of the store's list only {rows} rows could be read") }
        })
    }
}

/// A key-value store with transactions, leases and watches.
#[async_trait(?Send)]
pub trait Store {
    /// Returns the pair with `key`, if it exists.
    ///
    /// # Errors
    ///
    /// Fails if no endpoint responds within the timeout.
    async fn get(&self, key: &str) -> Result<Option<Pair>>;

    /// Returns the pairs whose keys start with `prefix`, as far as they can be read.
    ///
    /// # Errors
    ///
    /// Fails if no endpoint responds within the timeout.
    async fn range(&self, prefix: &str) -> Result<Snapshot>;

    /// Applies `transaction` atomically and returns the new revision.
    ///
    /// # Errors
    ///
    /// `NotApplied` if a comparison fails, `Unknown` if the response is lost, `LeaseGone` if a put
    /// refers to a lease that no longer exists, otherwise the reason why nothing was written.
    async fn commit(&self, transaction: Transaction) -> Result<i64>;

    /// Grants a lease that expires `ttl` (rounded up to whole seconds) after its last renewal.
    ///
    /// # Errors
    ///
    /// Fails if no endpoint responds within the timeout.
    async fn grant(&self, ttl: Duration) -> Result<i64>;

    /// Renews `lease`; its TTL restarts when the store receives the call.
    ///
    /// # Errors
    ///
    /// `LeaseGone` if the lease no longer exists, otherwise the reason why no response arrived.
    async fn keep_alive(&self, lease: i64) -> Result<()>;

    /// Revokes `lease` and deletes the keys attached to it.
    ///
    /// # Errors
    ///
    /// Fails if no endpoint responds within the timeout; the lease then expires on its own.
    async fn revoke(&self, lease: i64) -> Result<()>;

    /// Watches the keys that start with `prefix`, from `revision` onwards.
    ///
    /// # Errors
    ///
    /// Fails if no endpoint opens the watch within the timeout.
    async fn watch(&self, prefix: &str, revision: i64) -> Result<Box<dyn Watch>>;
}
