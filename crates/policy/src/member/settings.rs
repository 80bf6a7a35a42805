//! Settings of membership.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How members are kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The time between two reports of an agent.
    #[serde(rename = "beat")]
    pub heartbeat: Duration,
    /// How many beats a target may be silent before it is dropped.
    pub silent_beats: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self { heartbeat: Duration::from_millis(500), silent_beats: 6 }
    }
}
