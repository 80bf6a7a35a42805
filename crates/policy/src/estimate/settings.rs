//! Settings of the correction of declarations.

use serde::{Deserialize, Serialize};

/// Rates and limits of learning.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Measurements of a kind that are needed before its declarations are corrected.
    pub samples: u32,
    /// Weight of one measurement in a moving mean, thousandths.
    pub rate_milli: u32,
    /// Amount that is reserved, thousandths of the largest measured one.
    pub margin_milli: u32,
    /// Decay of the largest measured amount with each measurement, thousandths.
    #[serde(rename = "fall_milli")]
    pub decay_milli: u32,
    /// Multiple of the expected run time after which a task counts as a straggler.
    #[serde(rename = "straggler")]
    pub straggler_factor: u32,
    /// Maximum number of kinds that are kept; the least recently measured one is removed first.
    pub kinds: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            samples: 8,
            rate_milli: 100,
            margin_milli: 1_150,
            decay_milli: 5,
            straggler_factor: 4,
            kinds: 256,
        }
    }
}
