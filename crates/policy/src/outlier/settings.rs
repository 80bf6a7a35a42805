//! Settings of setting targets aside.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// When a target is set aside, and for how long.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Failures in a row after which a target is set aside.
    pub consecutive: u32,
    /// Share of failures above which a target is set aside, thousandths.
    pub failure_milli: u32,
    /// How many times slower than its kind a target must be to be set aside, thousandths.
    pub slow_milli: u32,
    /// Results before a share of failures or a mean latency counts.
    pub least_samples: u32,
    /// The time for which a target is set aside first; doubles with each repetition.
    pub first: Duration,
    /// The longest time for which a target is set aside.
    pub longest: Duration,
    /// Most targets of a kind that are set aside, thousandths of its members.
    pub share_milli: u32,
    /// Successes in a row by which a target proves itself.
    pub proof: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            consecutive: 5,
            failure_milli: 500,
            slow_milli: 5_000,
            least_samples: 20,
            first: Duration::from_secs(2),
            longest: Duration::from_secs(120),
            share_milli: 300,
            proof: 3,
        }
    }
}
