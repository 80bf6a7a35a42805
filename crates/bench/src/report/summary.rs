//! Everything that one run found.

use super::{Batch, Quick, Violations};
use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;

/// The figures of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Summary {
    /// The floor.
    #[serde(rename = "floor")]
    pub testbed: Name,
    /// The policy.
    pub policy: Name,
    /// The faults, in the order in which they began.
    pub faults: Vec<Name>,
    /// The seed.
    pub seed: u64,
    /// How long load was sent, seconds.
    pub seconds: f64,
    /// Seconds of the real floor that one second of batch run time stands for.
    pub time_scale: u32,
    /// Quick requests.
    pub quick: Quick,
    /// Quick requests that were due at the surge: the share done within their deadline.
    pub surge_in_deadline: f64,
    /// Long-lived requests.
    pub watch: Quick,
    /// Batch jobs.
    pub batch: Batch,
    /// Tasks that were checkpointed and stopped to make room.
    pub evictions: u64,
    /// Time from the sending of quick requests to their start at a target, 99th percentile.
    pub head_of_line_ms_p99: f64,
    /// Changes of the configuration that were accepted.
    pub config_changes: u64,
    /// Broken promises, by name.
    pub violations: Violations,
    /// The first broken promises in words.
    pub notes: Vec<String>,
}
