//! A text that was not put in force.

use serde::{Deserialize, Serialize};

/// Which revision was refused, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("configuration revision {revision} is refused, so the one in force stays: {reason}")]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// The revision.
    pub revision: u64,
    /// Place, fault and remedy.
    pub reason: String,
}
