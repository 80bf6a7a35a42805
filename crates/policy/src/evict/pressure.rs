//! Pressure of quick work on batch work.

use shallotflow_core::resources::Bundle;
use std::time::Duration;

/// Measurements of the pressure at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pressure {
    /// Waiting time of the oldest quick request in the queue.
    pub wait: Duration,
    /// Resources that waiting quick requests need beyond those that are free or soon will be.
    pub shortage: Bundle,
    /// Resources that running work uses beyond the worker's capacity.
    pub excess: Bundle,
    /// Slowdown of quick work by batch work, thousandths; 1000 means none.
    pub slowdown_milli: u32,
}
