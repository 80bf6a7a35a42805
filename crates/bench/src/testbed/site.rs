//! Where the workers of a floor stand.

use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;
use std::time::Duration;

/// The processes of a floor and their distances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Site {
    /// The name of the floor.
    pub name: Name,
    /// The failure domains; workers and entries are dealt to them in turn.
    pub domains: Vec<Name>,
    /// How many workers there are.
    pub workers: usize,
    /// How many entries there are.
    pub entries: usize,
    /// One-way latency between failure domains.
    pub domain_latency: Duration,
    /// How late workers report usage.
    pub report_lag: Duration,
    /// Seconds of the real floor that one second of batch run time stands for.
    pub time_scale: u32,
}

impl Default for Site {
    fn default() -> Self {
        Self {
            name: "floor".into(),
            domains: vec!["default".into()],
            workers: 3,
            entries: 1,
            domain_latency: Duration::ZERO,
            report_lag: Duration::from_millis(500),
            time_scale: 1,
        }
    }
}
