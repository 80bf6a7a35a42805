//! Settings of outlier ejection.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Thresholds for ejection, and its duration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Failures in a row after which a target is ejected.
    pub consecutive: u32,
    /// Failure rate above which a target is ejected, thousandths.
    pub failure_milli: u32,
    /// Ratio of a target's latency to the expected latency above which it is ejected,
    /// thousandths.
    pub slow_milli: u32,
    /// Results that are needed before the failure rate and the latency count.
    #[serde(rename = "least_samples")]
    pub min_samples: u32,
    /// Duration of the first ejection; doubles with each further one.
    #[serde(rename = "first")]
    pub base_ejection: Duration,
    /// Longest duration of an ejection.
    #[serde(rename = "longest")]
    pub max_ejection: Duration,
    /// Maximum share of the targets of a kind that may be ejected, thousandths of its members.
    pub share_milli: u32,
    /// Successes in a row that end the probation.
    #[serde(rename = "proof")]
    pub probation_successes: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            consecutive: 5,
            failure_milli: 500,
            slow_milli: 5_000,
            min_samples: 20,
            base_ejection: Duration::from_secs(2),
            max_ejection: Duration::from_secs(120),
            share_milli: 300,
            probation_successes: 3,
        }
    }
}
