use crate::entry::Submission;
use serde::{Deserialize, Serialize};
use shallotflow_core::graph::State;
use shallotflow_policy::plan::{Backlog, Sizes};
use std::net::SocketAddr;

/// The response of an entry to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// The status of the entry.
    #[serde(rename = "Standing")]
    Status {
        /// The highest epoch that the entry knows.
        epoch: u64,
        /// Whether the entry owns the table.
        owned: bool,
        /// The address of the owner with that epoch, if the entry knows it.
        owner: Option<SocketAddr>,
        /// Time since the store last answered the entry, in milliseconds.
        store_age_ms: u64,
        /// The largest workers that it has seen, if it owns the table.
        sizes: Sizes,
        /// The accepted work, if it owns the table and entries refuse jobs by it. The last field, left
        /// out while it says nothing: messages are encoded by position.
        #[serde(default, skip_serializing_if = "Backlog::is_default")]
        backlog: Backlog,
    },
    /// The visible state of the job, if the owner knows the job.
    State(Option<State>),
    /// The number of waiting jobs.
    Waiting(u64),
    /// The owner has applied the change.
    #[serde(rename = "Noted")]
    Acknowledged,
    /// The entry does not own the table.
    NotOwner,
    /// The outcome of a submission.
    Submitted(Submission),
    /// Whether a job was cancelled: `Some(false)` if there is no such job, `None` if the outcome is
    /// unknown.
    Withdrawn(Option<bool>),
}
