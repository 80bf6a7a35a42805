//! Errors of store calls.

use std::time::Duration;

/// The reason why a store call failed, which shows whether a write may have been applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A comparison of the transaction failed, so nothing was written.
    #[error(
        "the store rejected the transaction on {key}: a comparison failed; read the current state and retry"
    )]
    NotApplied {
        /// The first key that the transaction compares.
        key: String,
    },
    /// No endpoint accepted the call, so nothing was written.
    #[error(
        "no store endpoint accepts calls ({reason}); check the store and the configured endpoints"
    )]
    Unavailable {
        /// The error of the last endpoint.
        reason: String,
    },
    /// The call was sent but no response arrived; a write may have been applied.
    #[error("the response of the store was lost ({reason}); read the current state before a retry")]
    Unknown {
        /// The reason why no response arrived.
        reason: String,
    },
    /// The lease no longer exists; the keys attached to it are deleted.
    #[error("lease {id} has expired or was revoked; grant a new one and write its keys again")]
    LeaseGone {
        /// The identifier of the lease in the store.
        id: i64,
    },
    /// The start revision of a watch is compacted.
    #[error(
        "revisions before {oldest} are compacted; read the prefix and watch from the revision of that read"
    )]
    Compacted {
        /// The oldest revision available for a watch.
        oldest: i64,
    },
    /// The store rejected the request as invalid; nothing was written.
    #[error("the store rejected the call ({reason}); correct the request before a retry")]
    Rejected {
        /// The error message of the store.
        reason: String,
    },
}

impl Error {
    /// Creates the error for a call without a response within `limit`.
    pub fn timed_out(limit: Duration) -> Self {
        Self::Unknown { reason: format!("no response within {} ms", limit.as_millis()) }
    }

    /// The kind of error, as used in metric labels.
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

    /// Whether a write may have been applied despite the error.
    pub fn may_be_applied(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }
}

/// The result of a call to the store.
pub type Result<T> = std::result::Result<T, Error>;
