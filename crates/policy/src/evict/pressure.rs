//! What quick work lacks.

use shallotflow_core::resources::Bundle;
use std::time::Duration;

/// Signs of pressure at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pressure {
    /// How long the oldest quick request has waited for room.
    pub wait: Duration,
    /// What the waiting quick requests need beyond the room that is free or soon will be.
    pub shortage: Bundle,
    /// What all running work uses beyond the worker's capacity.
    pub excess: Bundle,
    /// Slowdown of quick work by what runs beside it, thousandths.
    pub slowdown_milli: u32,
}
