//! Counts the calls to a store in the metrics of the program.

use crate::error::{Error, Result};
use crate::pair::Pair;
use crate::store::{Snapshot, Store};
use crate::transaction::Transaction;
use crate::watch::Watch;
use async_trait::async_trait;
use shallotflow_core::metric;
use std::rc::Rc;
use std::time::Duration;

/// A store whose calls are counted by call and result.
pub struct Counted {
    inner: Rc<dyn Store>,
}

impl Counted {
    /// Counts the calls to `inner`.
    pub fn new(inner: Rc<dyn Store>) -> Self {
        Self { inner }
    }
}

#[async_trait(?Send)]
impl Store for Counted {
    async fn get(&self, key: &str) -> Result<Option<Pair>> {
        count("get", self.inner.get(key).await)
    }

    async fn range(&self, prefix: &str) -> Result<Snapshot> {
        count("range", self.inner.range(prefix).await)
    }

    async fn commit(&self, transaction: Transaction) -> Result<i64> {
        count("commit", self.inner.commit(transaction).await)
    }

    async fn grant(&self, ttl: Duration) -> Result<i64> {
        count("grant", self.inner.grant(ttl).await)
    }

    async fn keep_alive(&self, lease: i64) -> Result<()> {
        count("keep-alive", self.inner.keep_alive(lease).await)
    }

    async fn revoke(&self, lease: i64) -> Result<()> {
        count("revoke", self.inner.revoke(lease).await)
    }

    async fn watch(&self, prefix: &str, revision: i64) -> Result<Box<dyn Watch>> {
        count("watch", self.inner.watch(prefix, revision).await)
    }
}

fn count<T>(call: &'static str, result: Result<T>) -> Result<T> {
    let outcome = result.as_ref().map_or_else(Error::as_str, |_| "done");
    metrics::counter!(metric::STORE_CALLS, "call" => call, "result" => outcome).increment(1);
    result
}
