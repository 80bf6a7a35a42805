//! The trait that the rest of the system works with.

use crate::error::Result;
use crate::pair::Pair;
use crate::transaction::Transaction;
use crate::watch::Watch;
use async_trait::async_trait;
use std::time::Duration;

/// Pairs read at one revision of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The pairs, ordered by key.
    pub pairs: Vec<Pair>,
    /// The revision at which they were read; a watch goes on from the next one.
    pub revision: i64,
}

/// A key-value store with transactions, leases and watches.
#[async_trait(?Send)]
pub trait Store {
    /// The pair under `key`, if there is one.
    ///
    /// # Errors
    ///
    /// Fails when no endpoint answers in time.
    async fn get(&self, key: &str) -> Result<Option<Pair>>;

    /// Every pair whose key starts with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails when no endpoint answers in time.
    async fn range(&self, prefix: &str) -> Result<Snapshot>;

    /// Applies `transaction` as a whole and returns the revision that it made.
    ///
    /// # Errors
    ///
    /// `NotApplied` when a comparison fails, `Unknown` when the answer is lost, `LeaseGone` when a
    /// put names a lease that has ended, else the reason why nothing was written.
    async fn commit(&self, transaction: Transaction) -> Result<i64>;

    /// Takes a lease that ends `ttl` (rounded up to seconds) after its last renewal.
    ///
    /// # Errors
    ///
    /// Fails when no endpoint answers in time.
    async fn grant(&self, ttl: Duration) -> Result<i64>;

    /// Renews `lease`, counted from the store's receipt of the call.
    ///
    /// # Errors
    ///
    /// `LeaseGone` when it has ended, or the reason why no answer came.
    async fn keep_alive(&self, lease: i64) -> Result<()>;

    /// Ends `lease` and deletes its keys.
    ///
    /// # Errors
    ///
    /// Fails when no endpoint answers in time; the lease then ends by itself.
    async fn revoke(&self, lease: i64) -> Result<()>;

    /// Changes under `prefix` from `revision` on.
    ///
    /// # Errors
    ///
    /// Fails when no endpoint opens the watch in time.
    async fn watch(&self, prefix: &str, revision: i64) -> Result<Box<dyn Watch>>;
}
