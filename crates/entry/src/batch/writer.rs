//! Writes the segments of an owned ledger to the store.

use crate::session::{Session, keys};
use shallotflow_policy::ledger::Segment;
use shallotflow_store::error::Error;
use shallotflow_store::transaction::Transaction;
use std::time::Duration;

/// How long to wait after a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// The outcome of writing a segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WriteOutcome {
    /// The segment is in the store.
    Written,
    /// This entry no longer owns the ledger; the segment may or may not be in the store.
    Superseded,
}

/// Retries the write of `segment` until its outcome is known or `is_owner` returns false.
///
/// Each attempt commits the same transaction, which takes effect at most once. After a lost answer
/// the segment is read back.
pub(super) async fn write(
    session: &Session,
    segment: &Segment,
    is_owner: impl Fn() -> bool,
) -> WriteOutcome {
    let transaction = transaction(segment);
    let store = session.store();
    while is_owner() {
        let result = store.commit(transaction.clone()).await;
        let outcome = match result {
            Ok(_) => Some(WriteOutcome::Written),
            Err(Error::NotApplied { .. } | Error::Unknown { .. }) => {
                read_back(session, segment).await
            }
            Err(error) => {
                spdlog::warn!("segment not written", kv: { error = error.to_string() });
                None
            }
        };
        session.set_failing(outcome.is_none());
        if let Some(outcome) = outcome {
            return outcome;
        }
        monoio::time::sleep(RETRY_DELAY).await;
    }
    WriteOutcome::Superseded
}

/// Reads the segment back to learn its outcome; `None` if the write has to be retried.
async fn read_back(session: &Session, segment: &Segment) -> Option<WriteOutcome> {
    let store = session.store();
    let key = keys::segment(segment.ledger, segment.sequence);
    let found = store.get(&key).await.ok()?;
    if let Some(pair) = found {
        let is_own = pair.value == segment.body.as_bytes();
        return Some(if is_own { WriteOutcome::Written } else { WriteOutcome::Superseded });
    }
    let owner = store.get(&keys::owner(segment.ledger)).await.ok()?;
    let epoch = owner.map_or(0, |pair| pair.create_revision);
    (epoch != revision(segment.epoch)).then_some(WriteOutcome::Superseded)
}

fn transaction(segment: &Segment) -> Transaction {
    let key = keys::segment(segment.ledger, segment.sequence);
    let fenced = Transaction::default()
        .created_by(keys::owner(segment.ledger), revision(segment.epoch))
        .created_by(key.clone(), 0)
        .put(key, segment.body.clone());
    let replaced_keys = segment.replaced.iter().map(|old| keys::segment(segment.ledger, *old));
    replaced_keys.fold(fenced, Transaction::delete)
}

fn revision(epoch: u64) -> i64 {
    i64::try_from(epoch).unwrap_or(i64::MAX)
}
