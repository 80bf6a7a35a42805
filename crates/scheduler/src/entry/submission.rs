use serde::{Deserialize, Serialize};

/// What became of a job that was handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Submission {
    /// The store holds it.
    Accepted,
    /// It was not stored and never runs.
    Refused {
        /// When the caller may come back, milliseconds.
        retry_ms: u64,
    },
    /// It was not stored: the tasks of one of its steps fit no worker.
    TooLarge {
        /// The step, counted from 0.
        step: usize,
    },
    /// It may be stored; the caller has to ask again with the same identifier.
    Unknown,
}

/// What became of a caller's cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cancellation {
    /// The store holds it.
    Cancelled,
    /// There is no such job.
    Absent,
    /// It is not known whether the store holds it; the caller has to ask again.
    Unknown,
}
