use serde::{Deserialize, Serialize};

/// The outcome of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Submission {
    /// The store holds it.
    Accepted,
    /// The job was not stored and never runs.
    Refused {
        /// Delay before the caller may retry, in milliseconds.
        retry_ms: u64,
    },
    /// The job was not stored and never runs: it could not end in time beside the accepted ones.
    Overloaded {
        /// Delay after which the caller is to return, in milliseconds; whole seconds.
        retry_ms: u64,
    },
    /// The job was not stored: the tasks of one of its steps fit no worker.
    TooLarge {
        /// The step, counted from 0.
        step: usize,
    },
    /// The job may be stored; the caller has to submit it again with the same identifier.
    Unknown,
}

/// The outcome of a cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cancellation {
    /// The store holds it.
    Cancelled,
    /// There is no such job.
    Absent,
    /// The store may or may not hold the cancel; the caller has to repeat it.
    Unknown,
}
