//! What the store keeps of a job.

use super::{Spec, State};
use crate::name::Name;
use serde::{Deserialize, Serialize};

/// A job with its state, as committed to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The identifier, derived from the caller and its idempotency key.
    pub id: Name,
    /// What was asked for.
    pub spec: Spec,
    /// Where it stands.
    pub state: State,
    /// Starts committed so far; the number of the current or last attempt.
    pub attempts: u32,
    /// Attempts that ended in failure.
    pub failures: u32,
    /// The last acknowledged checkpoint, from which it resumes.
    pub checkpoint: Option<Name>,
    /// Whether a cancellation was asked for.
    pub cancelled: bool,
    /// When it was submitted, in milliseconds since 1970.
    pub submitted_unix_ms: u64,
    /// When it reached a final state, in milliseconds since 1970.
    pub finished_unix_ms: Option<u64>,
}
