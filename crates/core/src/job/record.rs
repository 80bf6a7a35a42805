//! The record of a job in the store.

use super::{Spec, State};
use crate::name::Name;
use serde::{Deserialize, Serialize};

/// A job with its state, as committed to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The identifier, derived from the caller and its idempotency key.
    pub id: Name,
    /// The job as submitted.
    pub spec: Spec,
    /// The current state.
    pub state: State,
    /// Number of starts committed so far, which is also the number of the current or last attempt.
    pub attempts: u32,
    /// Number of attempts that failed.
    pub failures: u32,
    /// The last acknowledged checkpoint, from which the next attempt resumes.
    pub checkpoint: Option<Name>,
    /// Whether cancellation was requested.
    pub cancelled: bool,
    /// Time of submission, in milliseconds since the Unix epoch.
    pub submitted_unix_ms: u64,
    /// Time at which it reached a final state, in milliseconds since the Unix epoch.
    pub finished_unix_ms: Option<u64>,
}
