use serde::{Deserialize, Serialize};
use shallotflow_policy::plan::message::{End, Incarnation, Run};

/// A worker's lists of active and ended runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lists {
    /// The worker's incarnation.
    #[serde(rename = "lifetime")]
    pub incarnation: Incarnation,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// The active runs.
    pub running: Vec<Run>,
    /// The ends that are not confirmed yet, oldest first.
    pub ends: Vec<End>,
}
