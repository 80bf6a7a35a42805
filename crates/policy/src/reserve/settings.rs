//! How the reserve follows demand.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Shape of the reserve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Time over which demand is averaged.
    pub window: Duration,
    /// Standard deviations of the demand, taken as a Poisson process, that are kept beyond its
    /// peak; thousandths.
    pub deviations_milli: u32,
    /// Thousandths of the worker's slots that are always kept.
    pub floor_milli: u32,
    /// Thousandths of the worker that are kept at most.
    pub ceiling_milli: u32,
    /// Time in which the reserve falls by half once demand is gone.
    pub half_life: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window: Duration::from_millis(200),
            deviations_milli: 1_250,
            floor_milli: 250,
            ceiling_milli: 900,
            half_life: Duration::from_secs(10),
        }
    }
}
