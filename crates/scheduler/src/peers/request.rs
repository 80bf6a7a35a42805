use serde::{Deserialize, Serialize};
use shallotflow_core::graph::{Id, Job};
use shallotflow_core::name::Name;

/// A request of one entry to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// The peer's status: whether it owns the table and reaches the store.
    #[serde(rename = "Standing")]
    Status {
        /// The highest epoch that the requesting entry knows.
        epoch: u64,
        /// Time since the store last answered the requesting entry, in milliseconds.
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
    /// Notifies the owner of a job that has just been stored.
    #[serde(rename = "Offer")]
    JobStored {
        /// The job's identifier.
        id: Id,
        /// The job.
        job: Job,
        /// The revision of the owner's record under which it was stored; 0 if that is not known.
        #[serde(default)]
        claim: i64,
    },
    /// Notifies the owner of a cancel that has just been stored.
    #[serde(rename = "Cancel")]
    CancelStored {
        /// The job.
        id: Id,
    },
    /// Stores a job on behalf of an entry that the store refuses.
    Submit {
        /// The job's identifier.
        id: Id,
        /// The job.
        job: Job,
    },
    /// Stores a cancel on behalf of an entry that the store refuses.
    Withdraw {
        /// The queue.
        queue: Name,
        /// The job.
        id: Id,
    },
}
