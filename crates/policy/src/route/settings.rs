//! Settings of the choice of a target.

use serde::{Deserialize, Serialize};

/// How a target is chosen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// What a target in another failure domain costs more, microseconds.
    pub remote_us: u32,
    /// The service time of a target that has not reported one, microseconds.
    pub prior_service_us: u32,
    /// How many pairs are drawn while every target drawn so far would let the request wait.
    pub pairs: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self { remote_us: 2_000, prior_service_us: 10_000, pairs: 4 }
    }
}
