//! Refused configuration text.

use serde::{Deserialize, Serialize};

/// Refused revision, with the reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error(
    "configuration revision {revision} is refused and the previous one stays in force: {reason}"
)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// The refused revision.
    pub revision: u64,
    /// Location in the text, error and remedy.
    pub reason: String,
}
