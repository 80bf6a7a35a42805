use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;
use shallotflow_store::pair::Pair;
use std::net::SocketAddr;

/// The owner of the table, as recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Owner {
    /// The owner's epoch, counted from 1; workers use it as a fence.
    pub epoch: u64,
    /// The name of the entry; empty once it has given the table up.
    pub entry: Name,
    /// The process number of the entry.
    pub process: u64,
    /// The address at which it serves calls.
    pub address: SocketAddr,
}

/// Why a record of the membership is refused.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    /// The value does not match the schema.
    #[error("the record cannot be read ({0}); find the other writer of the key")]
    Unreadable(#[from] serde_json::Error),
    /// No entry can have claimed this epoch.
    #[error("epoch {0} was never claimed; find the other writer of the key")]
    Epoch(u64),
}

/// The result of reading a record.
pub(super) type Result<T> = std::result::Result<T, Error>;

impl Owner {
    /// Decodes the owner from the record `pair`.
    ///
    /// # Errors
    ///
    /// Fails if no entry can have written the record.
    pub(super) fn decode(pair: &Pair) -> Result<Self> {
        let owner: Self = serde_json::from_slice(&pair.value)?;
        check_epoch(owner.epoch, pair.mod_revision)?;
        Ok(owner)
    }
}

/// Decodes the epoch of the last claim from the record `pair`.
///
/// # Errors
///
/// Fails if no entry can have written the record.
pub(super) fn decode_epoch(pair: &Pair) -> Result<u64> {
    let epoch = serde_json::from_slice(&pair.value)?;
    check_epoch(epoch, pair.mod_revision)?;
    Ok(epoch)
}

/// Checks an epoch against the revision of its record. Each claim raises the epoch by 1, or to the
/// revision after that of the record it replaces, and gets a later revision itself; so no epoch
/// exceeds the revision of its record.
fn check_epoch(epoch: u64, revision: i64) -> Result<()> {
    let possible = 1..=u64::try_from(revision).unwrap_or(0);
    possible.contains(&epoch).then_some(()).ok_or(Error::Epoch(epoch))
}

/// The presence of an entry, as recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Presence {
    /// The process number of the entry.
    pub process: u64,
    /// The address at which it serves calls.
    pub address: SocketAddr,
    /// The relative strength of its machine; the strongest entry claims first.
    #[serde(default)]
    pub strength: u32,
}
