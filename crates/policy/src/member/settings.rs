//! Settings of membership.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Expiry of members.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Interval between two reports of an agent.
    #[serde(rename = "beat")]
    pub heartbeat: Duration,
    /// Heartbeat intervals without a report after which a target is removed.
    pub silent_beats: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self { heartbeat: Duration::from_millis(500), silent_beats: 6 }
    }
}
