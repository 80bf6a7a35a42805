//! What is known of a call that gave no result.

use std::time::Duration;

/// Why a call to the store gave no result.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A comparison of the transaction did not hold, so nothing was written.
    #[error(
        "the store refused the transaction on {key}: a comparison failed; read and decide anew"
    )]
    NotApplied {
        /// The first key that the transaction compares.
        key: String,
    },
    /// The call reached no store, so nothing was written.
    #[error("no store endpoint takes calls ({reason}); check the store and its endpoints")]
    Unavailable {
        /// What the last endpoint said.
        reason: String,
    },
    /// The call was sent and no answer came; a write may have been applied.
    #[error("the store's answer was lost ({reason}); read back before a retry")]
    Unknown {
        /// How the answer was lost.
        reason: String,
    },
    /// The lease does not exist any more; what was stored under it is gone.
    #[error("lease {id} has ended; take a new one and claim its keys again")]
    LeaseGone {
        /// The store's identifier of the lease.
        id: i64,
    },
    /// The store dropped the revisions that a watch wanted to start from.
    #[error("revisions before {oldest} are compacted; read the prefix and watch from there")]
    Compacted {
        /// The oldest revision that can be watched.
        oldest: i64,
    },
    /// The store refuses the call itself; nothing was written.
    #[error("the store rejects the call ({reason}); mend the request before a retry")]
    Rejected {
        /// What the store said.
        reason: String,
    },
}

impl Error {
    /// A lost answer after waiting for `limit`.
    pub fn timed_out(limit: Duration) -> Self {
        Self::Unknown { reason: format!("no answer within {} ms", limit.as_millis()) }
    }

    /// The kind, as metrics name it.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::NotApplied { .. } => "not-applied",
            Self::Unavailable { .. } => "unavailable",
            Self::Unknown { .. } => "unknown",
            Self::LeaseGone { .. } => "lease-gone",
            Self::Compacted { .. } => "compacted",
            Self::Rejected { .. } => "rejected",
        }
    }

    /// Whether a write may have been applied all the same.
    pub fn may_be_applied(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }
}

/// The result of a call to the store.
pub type Result<T> = std::result::Result<T, Error>;
