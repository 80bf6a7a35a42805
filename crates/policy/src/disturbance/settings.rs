//! Settings of the learning of disturbance.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Rates and limits of learning.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Slowdown that a pair adds before any measurement, thousandths.
    pub prior_milli: u32,
    /// Part of the error that one measurement corrects, thousandths.
    pub rate_milli: u32,
    /// Time after which an unmeasured pair has decayed halfway back to the prior.
    pub half_life: Duration,
    /// Maximum number of pairs that are kept; the least recently measured one is removed first.
    pub pairs: usize,
    /// Time that the history reaches back.
    #[serde(rename = "reach")]
    pub retention: Duration,
    /// Maximum number of changes that the history keeps.
    pub changes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            prior_milli: 20,
            rate_milli: 200,
            half_life: Duration::from_secs(600),
            pairs: 1_024,
            retention: Duration::from_secs(30),
            changes: 4_096,
        }
    }
}
