//! Settings of throttling and eviction.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Thresholds and rates of throttling and eviction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Waiting time of quick work at which batch tasks are evicted.
    pub wait: Duration,
    /// Slowdown of quick work at which batch work is throttled a step further, thousandths.
    pub slow_milli: u32,
    /// Batch work is throttled a step less only if this keeps the slowdown of quick work below this
    /// value, thousandths.
    pub calm_milli: u32,
    /// CPU shares of batch work by throttling step, thousandths.
    pub shares_milli: Vec<u32>,
    /// Slowdown of quick work up to which a task is never throttled, thousandths.
    pub harmless_milli: u32,
    /// Shortest time between two throttling steps up.
    pub step_up: Duration,
    /// Shortest calm period before a step down.
    pub step_down: Duration,
    /// Sustained rate of evictions, per second.
    pub per_second: u32,
    /// Number of evictions allowed at once after a quiet period.
    pub burst: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            wait: Duration::from_millis(20),
            slow_milli: 1_300,
            calm_milli: 1_250,
            shares_milli: vec![1_000, 800, 600, 400, 250],
            harmless_milli: 30,
            step_up: Duration::from_millis(50),
            step_down: Duration::from_secs(1),
            per_second: 4,
            burst: 4,
        }
    }
}
