//! How fast pairs are learned and forgotten.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Bounds of learning.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// What a pair adds before it is measured, thousandths.
    pub prior_milli: u32,
    /// Thousandths of the error that one measurement corrects.
    pub rate_milli: u32,
    /// Time in which a pair that is not measured goes halfway back to the prior.
    pub half_life: Duration,
    /// Most pairs that are kept; the one that was not measured for longest goes first.
    pub pairs: usize,
    /// How far back the history reaches.
    pub reach: Duration,
    /// Most changes that the history keeps.
    pub changes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            prior_milli: 20,
            rate_milli: 200,
            half_life: Duration::from_secs(600),
            pairs: 1_024,
            reach: Duration::from_secs(30),
            changes: 4_096,
        }
    }
}
