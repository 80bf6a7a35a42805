use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;

/// Properties of a run that its agent needs to manage the worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traits {
    /// Image of the run, if known.
    pub image: Option<Name>,
    /// Requested processors, thousandths of a processor.
    pub millicores: u32,
    /// Whether it uses only resources that others leave, and may be throttled in their favor.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Target for the tail latency, milliseconds; 0 if the task does not serve requests.
    pub target_ms: u32,
}
