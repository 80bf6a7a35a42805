use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;

/// One incarnation of a worker; a worker that restarts keeps no runs and no ends.
///
/// Incarnations of a worker are compared by start time only: a later one may have the same
/// identifier, and an agent that has just started may not know the identifier yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Incarnation {
    /// Identifier of the worker; empty until it registers.
    pub id: Name,
    /// Start time, milliseconds since 1970.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
}

impl PartialEq for Incarnation {
    fn eq(&self, other: &Self) -> bool {
        self.started_ms == other.started_ms
    }
}

impl Eq for Incarnation {}
