//! The results of one run.

use super::{Batch, Quick, Violations};
use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;

/// The results of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Summary {
    /// The name of the testbed.
    #[serde(rename = "floor")]
    pub testbed: Name,
    /// The policy.
    pub policy: Name,
    /// The faults, in the order in which they began.
    pub faults: Vec<Name>,
    /// The seed of all random choices.
    pub seed: u64,
    /// How long load was sent, seconds.
    pub seconds: f64,
    /// Seconds of real run time that one second of batch run time represents.
    pub time_scale: u32,
    /// Quick requests.
    pub quick: Quick,
    /// Share of the quick requests due during the surge that were done within their deadline.
    pub surge_in_deadline: f64,
    /// Long-lived requests.
    pub watch: Quick,
    /// Batch jobs.
    pub batch: Batch,
    /// Tasks that were checkpointed and stopped to free capacity.
    pub evictions: u64,
    /// Time from sending quick requests to their start at a target, 99th percentile, milliseconds.
    pub head_of_line_ms_p99: f64,
    /// Changes of the configuration that were accepted.
    pub config_changes: u64,
    /// Violations of guarantees, by name.
    pub violations: Violations,
    /// Descriptions of the first violations.
    pub notes: Vec<String>,
}
