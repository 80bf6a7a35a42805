use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;

/// What an agent has to know of a run beside its work.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traits {
    /// What it runs, if that is known.
    pub image: Option<Name>,
    /// Processors that it asks for, thousandths.
    pub millicores: u32,
    /// Whether it uses only what others leave, and may be slowed down for them.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Bound of its tail latency, milliseconds; 0 for a task that serves nobody.
    pub target_ms: u32,
}
