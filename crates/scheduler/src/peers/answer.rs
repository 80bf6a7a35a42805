use crate::entry::Submission;
use serde::{Deserialize, Serialize};
use shallotflow_core::graph::State;
use shallotflow_policy::plan::Sizes;
use std::net::SocketAddr;

/// What an entry answers another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// How the entry stands.
    Standing {
        /// The highest number of an owner that it knows.
        epoch: u64,
        /// Whether it is that owner.
        owned: bool,
        /// Where that owner takes calls, if the entry knows.
        owner: Option<SocketAddr>,
        /// How long ago the store answered it, milliseconds.
        store_age_ms: u64,
        /// The largest workers that it has seen, if it owns the table.
        sizes: Sizes,
    },
    /// The state that may be shown, if the owner knows the job.
    State(Option<State>),
    /// Jobs that wait.
    Waiting(u64),
    /// It was taken note of.
    Noted,
    /// The entry does not own the table.
    NotOwner,
    /// What became of a job that was handed in.
    Submitted(Submission),
    /// Whether a job was cancelled; `None` when that could not be found out.
    Withdrawn(Option<bool>),
}
