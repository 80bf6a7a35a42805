//! Reads and changes the configuration.

use super::doubt::Doubt;
use super::{Current, Edit};
use crate::error::{Error, Result};
use shallotflow_core::fleet::{Config, key};
use shallotflow_core::name::Name;
use shallotflow_store::error::Error as StoreError;
use shallotflow_store::pair::Pair;
use shallotflow_store::store::Store;
use shallotflow_store::transaction::Transaction;
use std::time::Duration;

/// How often a change is made anew because others were faster.
const MAX_RIVALS: u32 = 20;
/// How often the store is asked whether a change with a lost answer was applied.
const MAX_READ_BACKS: u32 = 10;
/// The text without any value: in reports an empty text stands for one that is not sent.
const EMPTY: &str = "[defaults]\n";
const READ_BACK_PAUSE: Duration = Duration::from_millis(300);

/// A change that is in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// Its identifier.
    pub id: Name,
    /// The revision of the configuration that has it.
    pub revision: i64,
    /// Whether it was merged with changes that others made meanwhile.
    pub merged: bool,
}

/// The configuration in one store.
pub struct Session<'a> {
    store: &'a dyn Store,
}

impl<'a> Session<'a> {
    /// A session over `store`.
    pub fn new(store: &'a dyn Store) -> Self {
        Self { store }
    }

    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer.
    pub async fn read(&self) -> Result<Current> {
        let pairs = self.store.range(key::PREFIX).await?.pairs;
        let find = |key: &str| pairs.iter().find(|pair| pair.key == key);
        let text = find(key::TEXT);
        let changes = find(key::CHANGES).and_then(|pair| serde_json::from_slice(&pair.value).ok());
        Ok(Current {
            revision: text.map_or(0, |pair| pair.mod_revision),
            text: text.map(value).unwrap_or_default(),
            changes: changes.unwrap_or_default(),
        })
    }

    /// The text that was in force at `revision`, if it is still kept.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer.
    pub async fn past(&self, revision: i64) -> Result<Option<String>> {
        if revision == 0 {
            return Ok(Some(String::new()));
        }
        Ok(self.store.get(&key::past(revision)).await?.as_ref().map(value))
    }

    /// Applies the change `id` at most once; `edit` makes the new text from the current one.
    ///
    /// # Errors
    ///
    /// Gives the error of `edit`; `Unsettled` when the answer of the store stays lost.
    pub async fn change(
        &self,
        id: Name,
        edit: impl Fn(&Current) -> Result<Edit>,
    ) -> Result<Applied> {
        let mut doubt = Doubt::default();
        let mut current = self.read().await?;
        for _ in 0..MAX_RIVALS {
            doubt.observe(&current);
            if current.changes.contains(&id) {
                return Ok(Applied { id, revision: current.revision, merged: false });
            }
            let Edit { text, merged } = edit(&current).map_err(|error| doubt.settle(error, &id))?;
            // No text reaches the store unchecked.
            Config::parse("new", &text)?;
            let text = if text.is_empty() { EMPTY.to_owned() } else { text };
            match self.commit(&current, &id, text).await {
                Ok(revision) => return Ok(Applied { id, revision, merged }),
                Err(StoreError::NotApplied { .. }) => {}
                Err(error) if error.may_be_applied() => doubt.arise(&current, error),
                Err(error) => return Err(doubt.settle(error.into(), &id)),
            }
            current = self.read_back().await.map_err(|error| doubt.settle(error, &id))?;
        }
        Err(doubt.settle(Error::Contended(MAX_RIVALS), &id))
    }

    async fn commit(
        &self,
        current: &Current,
        id: &Name,
        text: String,
    ) -> std::result::Result<i64, StoreError> {
        let mut changes = current.changes.clone();
        let replaced = (current.revision != 0).then_some(current.revision);
        let dropped = changes.add(id.clone(), replaced);
        let record = serde_json::to_vec(&changes)
            .map_err(|error| StoreError::Rejected { reason: error.to_string() })?;
        let mut transaction = Transaction::default()
            .written_by(key::TEXT, current.revision)
            .put(key::TEXT, text)
            .put(key::CHANGES, record);
        if replaced.is_some() {
            let old = current.text.clone();
            transaction = transaction.put(key::past(current.revision), old);
        }
        if let Some(revision) = dropped {
            transaction = transaction.delete(key::past(revision));
        }
        self.store.commit(transaction).await
    }

    /// Reads, also when the store needs some time to answer again.
    async fn read_back(&self) -> Result<Current> {
        let mut attempt = self.read().await;
        for _ in 1..MAX_READ_BACKS {
            let Err(Error::Store(_)) = attempt else { break };
            monoio::time::sleep(READ_BACK_PAUSE).await;
            attempt = self.read().await;
        }
        attempt
    }
}

fn value(pair: &Pair) -> String {
    String::from_utf8_lossy(&pair.value).into_owned()
}
