//! Settings of the reserve.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Settings for sizing the reserve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Time constant for averaging demand.
    pub window: Duration,
    /// Headroom beyond the peak: standard deviations of the demand, modelled as a Poisson process;
    /// thousandths.
    pub deviations_milli: u32,
    /// Minimum reserve, thousandths of the worker's slots.
    #[serde(rename = "floor_milli")]
    pub minimum_milli: u32,
    /// Maximum reserve, thousandths of each of the worker's resources.
    #[serde(rename = "ceiling_milli")]
    pub maximum_milli: u32,
    /// Time in which the reserve halves once demand is gone.
    pub half_life: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window: Duration::from_millis(200),
            deviations_milli: 1_250,
            minimum_milli: 250,
            maximum_milli: 900,
            half_life: Duration::from_secs(10),
        }
    }
}
