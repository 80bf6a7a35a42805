//! Errors of operations on jobs and ledgers.

use shallotflow_core::name::Name;

/// An error of an operation on a job or a ledger; the operation has changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// This entry does not own the ledger.
    #[error("ledger {ledger} is not owned here; ask its owner")]
    NotOwned {
        /// The ledger.
        ledger: u32,
    },
    /// There is no job with this identifier.
    #[error("no job has the identifier {id}; check it, or submit the job again")]
    UnknownJob {
        /// The identifier.
        id: Name,
    },
    /// The idempotency key was used for a job with a different specification.
    #[error("job {id} was submitted with another specification; use a new idempotency key")]
    KeyReused {
        /// The identifier.
        id: Name,
    },
    /// Too many jobs are waiting.
    #[error("{waiting} jobs wait, the limit is {limit}; retry later")]
    Full {
        /// The number of waiting jobs.
        waiting: usize,
        /// The limit.
        limit: usize,
    },
    /// Too many jobs of one caller are waiting.
    #[error("{waiting} jobs of {caller} wait, the limit is {limit}; retry later")]
    CallerFull {
        /// The caller.
        caller: Name,
        /// The number of waiting jobs of the caller.
        waiting: usize,
        /// The limit.
        limit: usize,
    },
    /// A stored segment cannot be read.
    #[error("segment {sequence} of ledger {ledger} is damaged ({reason}); restore it by hand")]
    Damaged {
        /// The ledger.
        ledger: u32,
        /// The sequence number of the segment.
        sequence: u64,
        /// The parse error.
        reason: String,
    },
}

/// The result of an operation on a job.
pub type Result<T> = std::result::Result<T, Error>;
