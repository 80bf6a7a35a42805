//! The processes of a testbed and their failure domains.

use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;
use std::time::Duration;

/// The processes of a testbed and their failure domains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Site {
    /// The name of the testbed.
    pub name: Name,
    /// The failure domains; workers and entries are assigned to them round robin.
    pub domains: Vec<Name>,
    /// Number of workers.
    pub workers: usize,
    /// Number of entries.
    pub entries: usize,
    /// One-way latency between failure domains.
    pub domain_latency: Duration,
    /// Delay with which workers report usage.
    pub report_lag: Duration,
    /// Seconds of real run time that one second of batch run time represents.
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
