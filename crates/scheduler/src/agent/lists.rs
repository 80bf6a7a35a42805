use serde::{Deserialize, Serialize};
use shallotflow_policy::plan::message::{End, Incarnation, Run};

/// What a worker says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lists {
    /// Which life of the worker it is.
    #[serde(rename = "lifetime")]
    pub incarnation: Incarnation,
    /// The worker's clock, milliseconds.
    pub clock_ms: u64,
    /// What runs.
    pub running: Vec<Run>,
    /// What has ended and was not confirmed, oldest first.
    pub ends: Vec<End>,
}
