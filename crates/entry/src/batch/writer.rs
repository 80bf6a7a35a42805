//! Brings the segments of one owned ledger into the store, one after the other.

use crate::session::{Session, keys};
use shallotflow_policy::ledger::Segment;
use shallotflow_store::error::Error;
use shallotflow_store::transaction::Transaction;
use std::time::Duration;

/// How long to wait after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// What became of a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    /// It is in the store.
    Written,
    /// The ledger has another owner, or none; the segment may or may not be in the store.
    Deposed,
}

/// Writes `segment` until its fate is known, or until `is_owner` says that it matters no more.
///
/// Each try is the same transaction, which takes effect at most once; after a lost answer the
/// segment is read back.
pub(super) async fn write(
    session: &Session,
    segment: &Segment,
    is_owner: impl Fn() -> bool,
) -> Fate {
    let transaction = transaction(segment);
    let store = session.store();
    while is_owner() {
        let result = store.commit(transaction.clone()).await;
        let fate = match result {
            Ok(_) => Some(Fate::Written),
            Err(Error::NotApplied { .. } | Error::Unknown { .. }) => settle(session, segment).await,
            Err(error) => {
                spdlog::warn!("segment not written", kv: { error = error.to_string() });
                None
            }
        };
        session.note(fate.is_none());
        if let Some(fate) = fate {
            return fate;
        }
        monoio::time::sleep(RETRY_DELAY).await;
    }
    Fate::Deposed
}

/// Reads back what became of a segment; nothing when it has to be written again.
async fn settle(session: &Session, segment: &Segment) -> Option<Fate> {
    let store = session.store();
    let key = keys::segment(segment.ledger, segment.sequence);
    let found = store.get(&key).await.ok()?;
    if let Some(pair) = found {
        let ours = pair.value == segment.body.as_bytes();
        return Some(if ours { Fate::Written } else { Fate::Deposed });
    }
    let owner = store.get(&keys::owner(segment.ledger)).await.ok()?;
    let epoch = owner.map_or(0, |pair| pair.create_revision);
    (epoch != revision(segment.epoch)).then_some(Fate::Deposed)
}

fn transaction(segment: &Segment) -> Transaction {
    let key = keys::segment(segment.ledger, segment.sequence);
    let guarded = Transaction::default()
        .created_by(keys::owner(segment.ledger), revision(segment.epoch))
        .created_by(key.clone(), 0)
        .put(key, segment.body.clone());
    let replaced = segment.replaced.iter().map(|old| keys::segment(segment.ledger, *old));
    replaced.fold(guarded, Transaction::delete)
}

fn revision(epoch: u64) -> i64 {
    i64::try_from(epoch).unwrap_or(i64::MAX)
}
