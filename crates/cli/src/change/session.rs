//! Reads and changes the configuration in the store.

use super::unconfirmed::Unconfirmed;
use super::{Current, Edit};
use crate::error::{Error, Result};
use shallotflow_core::fleet::{Config, key};
use shallotflow_core::name::Name;
use shallotflow_store::error::Error as StoreError;
use shallotflow_store::pair::Pair;
use shallotflow_store::store::Store;
use shallotflow_store::transaction::Transaction;
use std::time::Duration;

/// Maximum number of attempts to commit a change while concurrent changes are committed first.
const MAX_ATTEMPTS: u32 = 20;
/// Maximum number of reads that check whether a change with a lost response was applied.
const MAX_READ_ATTEMPTS: u32 = 10;
/// Written instead of an empty text: in reports, an empty text means that no text is sent.
const EMPTY_TEXT: &str = "[defaults]\n";
const READ_RETRY_PAUSE: Duration = Duration::from_millis(300);

/// A committed change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Applied {
    /// The identifier of the change.
    pub id: Name,
    /// The store revision of the configuration that includes the change.
    pub revision: i64,
    /// Whether the change was merged with concurrent changes.
    pub merged: bool,
}

/// Access to the configuration in a store.
pub struct Session<'a> {
    store: &'a dyn Store,
}

impl<'a> Session<'a> {
    /// Creates a session that uses `store`.
    pub fn new(store: &'a dyn Store) -> Self {
        Self { store }
    }

    /// Reads the current configuration.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond.
    pub async fn read(&self) -> Result<Current> {
        let pairs = self.store.range(key::PREFIX).await?.whole()?;
        let find = |key: &str| pairs.iter().find(|pair| pair.key == key);
        let text = find(key::TEXT);
        let changes = find(key::CHANGES).and_then(|pair| serde_json::from_slice(&pair.value).ok());
        Ok(Current {
            revision: text.map_or(0, |pair| pair.mod_revision),
            text: text.map(value_text).unwrap_or_default(),
            changes: changes.unwrap_or_default(),
        })
    }

    /// Reads the text that was in force at `revision`, or `None` if the store no longer keeps it.
    ///
    /// # Errors
    ///
    /// Fails if the store does not respond.
    pub async fn text_at(&self, revision: i64) -> Result<Option<String>> {
        if revision == 0 {
            return Ok(Some(String::new()));
        }
        Ok(self.store.get(&key::past(revision)).await?.as_ref().map(value_text))
    }

    /// Applies the change `id` at most once; `edit` derives the new text from the current one.
    ///
    /// # Errors
    ///
    /// Returns the error of `edit`, or [`Error::OutcomeUnknown`] if no response shows whether the
    /// change was applied.
    pub async fn change(
        &self,
        id: Name,
        edit: impl Fn(&Current) -> Result<Edit>,
    ) -> Result<Applied> {
        let mut unconfirmed = Unconfirmed::default();
        let mut current = self.read().await?;
        for _ in 0..MAX_ATTEMPTS {
            unconfirmed.observe(&current);
            if current.changes.contains(&id) {
                return Ok(Applied { id, revision: current.revision, merged: false });
            }
            let Edit { text, merged } =
                edit(&current).map_err(|error| unconfirmed.override_error(error, &id))?;
            // An invalid text must never be written to the store.
            Config::parse("new", &text)?;
            let text = if text.is_empty() { EMPTY_TEXT.to_owned() } else { text };
            match self.commit(&current, &id, text).await {
                Ok(revision) => return Ok(Applied { id, revision, merged }),
                Err(StoreError::NotApplied { .. }) => {}
                Err(error) if error.may_be_applied() => unconfirmed.record(&current, error),
                Err(error) => return Err(unconfirmed.override_error(error.into(), &id)),
            }
            current = self
                .read_with_retry()
                .await
                .map_err(|error| unconfirmed.override_error(error, &id))?;
        }
        Err(unconfirmed.override_error(Error::Contended(MAX_ATTEMPTS), &id))
    }

    async fn commit(
        &self,
        current: &Current,
        id: &Name,
        text: String,
    ) -> std::result::Result<i64, StoreError> {
        let mut changes = current.changes.clone();
        let replaced_revision = (current.revision != 0).then_some(current.revision);
        let expired = changes.add(id.clone(), replaced_revision);
        let record = serde_json::to_vec(&changes)
            .map_err(|error| StoreError::Rejected { reason: error.to_string() })?;
        let mut transaction = Transaction::default()
            .written_by(key::TEXT, current.revision)
            .put(key::TEXT, text)
            .put(key::CHANGES, record);
        if replaced_revision.is_some() {
            let old = current.text.clone();
            transaction = transaction.put(key::past(current.revision), old);
        }
        if let Some(revision) = expired {
            transaction = transaction.delete(key::past(revision));
        }
        self.store.commit(transaction).await
    }

    /// Reads the configuration, with retries because the store may be recovering from an outage.
    async fn read_with_retry(&self) -> Result<Current> {
        let mut result = self.read().await;
        for _ in 1..MAX_READ_ATTEMPTS {
            let Err(Error::Store(_)) = result else { break };
            monoio::time::sleep(READ_RETRY_PAUSE).await;
            result = self.read().await;
        }
        result
    }
}

fn value_text(pair: &Pair) -> String {
    String::from_utf8_lossy(&pair.value).into_owned()
}
