//! Tracks a write whose response was lost.

use super::Current;
use crate::error::Error;
use shallotflow_core::name::Name;
use shallotflow_store::error::Error as StoreError;

/// A write that was sent but not answered, if it may still be applied.
#[derive(Debug, Default)]
pub(super) struct Unconfirmed {
    pending: Option<Pending>,
}

#[derive(Debug)]
struct Pending {
    /// The revision that the write expects in its comparison.
    expected_revision: i64,
    reason: StoreError,
}

impl Unconfirmed {
    /// Records that the response to a write based on `current` was lost.
    pub(super) fn record(&mut self, current: &Current, reason: StoreError) {
        self.pending = Some(Pending { expected_revision: current.revision, reason });
    }

    /// Forgets the write if a later read shows another revision: the comparison of a delayed write
    /// then fails, so it can never be applied.
    pub(super) fn observe(&mut self, current: &Current) {
        if self
            .pending
            .as_ref()
            .is_some_and(|pending| pending.expected_revision != current.revision)
        {
            self.pending = None;
        }
    }

    /// Replaces `error` by [`Error::OutcomeUnknown`] while the write may still be applied.
    pub(super) fn override_error(&self, error: Error, id: &Name) -> Error {
        match &self.pending {
            Some(pending) => {
                Error::OutcomeUnknown { id: id.to_string(), reason: pending.reason.to_string() }
            }
            None => error,
        }
    }
}
