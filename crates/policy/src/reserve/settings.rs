//! How the reserve follows demand.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Shape of the reserve.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Thousandths of the recent crest that are kept.
    pub headroom_milli: u32,
    /// Slots that are kept beyond that.
    pub spare_slots: u32,
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
            headroom_milli: 1_250,
            spare_slots: 1,
            floor_milli: 125,
            ceiling_milli: 900,
            half_life: Duration::from_secs(20),
        }
    }
}
