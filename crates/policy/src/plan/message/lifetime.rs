use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;

/// One life of a worker; a worker that starts again holds nothing of before.
///
/// The time of its start tells the lives of one worker apart: a later life may have the same
/// identifier, and an agent that has just started may not know it yet.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Lifetime {
    /// The worker's identifier; empty until it registers.
    pub id: Name,
    /// When this life began, milliseconds since 1970.
    pub born_ms: u64,
}

impl PartialEq for Lifetime {
    fn eq(&self, other: &Self) -> bool {
        self.born_ms == other.born_ms
    }
}

impl Eq for Lifetime {}
