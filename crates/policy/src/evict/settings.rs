//! Bounds of throttling and evicting.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// When and how fast batch work makes room.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The wait of quick work for room at which batch tasks are evicted.
    pub wait: Duration,
    /// Slowdown of quick work, thousandths, at which batch work is throttled a step further.
    pub slow_milli: u32,
    /// Slowdown of quick work, thousandths, below which a step less would have to keep it.
    pub calm_milli: u32,
    /// Processor shares of batch work by step, thousandths.
    pub shares_milli: Vec<u32>,
    /// What a task may add to the run time of quick work, thousandths, and never be throttled.
    pub harmless_milli: u32,
    /// The shortest time between two steps further.
    pub step_up: Duration,
    /// The shortest calm before a step back.
    pub step_down: Duration,
    /// Evictions allowed in a second.
    pub per_second: u32,
    /// Evictions allowed at once after a quiet time.
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
