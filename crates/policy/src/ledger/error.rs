//! Why an operation on a job is refused.

use shallotflow_core::name::Name;

/// Why an operation on a job is refused; nothing was changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The ledger is not owned here.
    #[error("ledger {ledger} is not owned here; ask its owner")]
    NotOwned {
        /// The ledger.
        ledger: u32,
    },
    /// No job has this identifier.
    #[error("no job has the identifier {id}; check it, or submit the job again")]
    UnknownJob {
        /// The identifier.
        id: Name,
    },
    /// The idempotency key belongs to a job with another specification.
    #[error("job {id} was submitted with another specification; use a new idempotency key")]
    KeyReused {
        /// The identifier.
        id: Name,
    },
    /// Too many jobs wait.
    #[error("{waiting} jobs wait, the limit is {limit}; retry later")]
    Full {
        /// Jobs that wait.
        waiting: usize,
        /// The limit.
        limit: usize,
    },
    /// Too many jobs of one caller wait.
    #[error("{waiting} jobs of {caller} wait, the limit is {limit}; retry later")]
    CallerFull {
        /// The caller.
        caller: Name,
        /// Jobs of the caller that wait.
        waiting: usize,
        /// The limit.
        limit: usize,
    },
    /// A stored segment cannot be read.
    #[error("segment {sequence} of ledger {ledger} is damaged ({reason}); restore it by hand")]
    Damaged {
        /// The ledger.
        ledger: u32,
        /// The number of the segment.
        sequence: u64,
        /// What is wrong with it.
        reason: String,
    },
}

/// The result of an operation on a job.
pub type Result<T> = std::result::Result<T, Error>;
