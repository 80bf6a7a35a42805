use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;

/// One life of a worker; a worker that starts again holds nothing of before.
///
/// The time of its start tells the lives of one worker apart: a later life may have the same
/// identifier, and an agent that has just started may not know it yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Incarnation {
    /// The worker's identifier; empty until it registers.
    pub id: Name,
    /// When this life began, milliseconds since 1970.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
}

impl PartialEq for Incarnation {
    fn eq(&self, other: &Self) -> bool {
        self.started_ms == other.started_ms
    }
}

impl Eq for Incarnation {}
