//! A write whose answer was lost.

use super::Current;
use crate::error::Error;
use shallotflow_core::name::Name;
use shallotflow_store::error::Error as StoreError;

/// Whether a write may still be applied that was sent and not answered.
#[derive(Debug, Default)]
pub(super) struct Doubt {
    pending: Option<Pending>,
}

#[derive(Debug)]
struct Pending {
    /// The revision that the write compares.
    compared: i64,
    reason: StoreError,
}

impl Doubt {
    /// Notes that the answer to a write over `current` was lost.
    pub(super) fn arise(&mut self, current: &Current, reason: StoreError) {
        self.pending = Some(Pending { compared: current.revision, reason });
    }

    /// Notes what was read afterwards: once the revision has moved, the comparison of a late write
    /// fails, so it is never applied.
    pub(super) fn observe(&mut self, current: &Current) {
        if self.pending.as_ref().is_some_and(|pending| pending.compared != current.revision) {
            self.pending = None;
        }
    }

    /// The error to report: as long as a write may be applied, nothing else can be said.
    pub(super) fn settle(&self, error: Error, id: &Name) -> Error {
        match &self.pending {
            Some(pending) => {
                Error::Unsettled { id: id.to_string(), reason: pending.reason.to_string() }
            }
            None => error,
        }
    }
}
