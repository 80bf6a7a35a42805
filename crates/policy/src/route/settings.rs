//! Settings for the choice of a target.

use serde::{Deserialize, Serialize};

/// Cost model and number of draws.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Extra cost of a target in another failure domain, microseconds.
    pub remote_us: u32,
    /// Service time assumed for a target that has not reported one, microseconds.
    pub prior_service_us: u32,
    /// Maximum number of pairs that are drawn while every target drawn so far has an expected wait.
    pub pairs: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self { remote_us: 2_000, prior_service_us: 10_000, pairs: 4 }
    }
}
