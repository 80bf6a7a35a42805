use serde::{Deserialize, Serialize};
use shallotflow_core::graph::{Id, Job};
use shallotflow_core::name::Name;

/// What one entry asks another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// Whether it owns the table and reaches the store.
    Standing {
        /// The highest number of an owner that the asking entry knows.
        epoch: u64,
        /// How long ago the store answered the asking entry, milliseconds.
        store_age_ms: u64,
    },
    /// The state of a job, from the owner.
    State {
        /// The queue.
        queue: Name,
        /// The job.
        id: Id,
    },
    /// The number of jobs that wait in a queue, from the owner.
    Waiting {
        /// The queue.
        queue: Name,
    },
    /// A job that the store holds now.
    Offer {
        /// The job's identifier.
        id: Id,
        /// The job.
        job: Job,
    },
    /// A job whose cancel the store holds now.
    Cancel {
        /// The job.
        id: Id,
    },
    /// Accept a job on behalf of an entry that the store refuses.
    Submit {
        /// The job's identifier.
        id: Id,
        /// The job.
        job: Job,
    },
    /// Record a cancel on behalf of an entry that the store refuses.
    Withdraw {
        /// The queue.
        queue: Name,
        /// The job.
        id: Id,
    },
}
