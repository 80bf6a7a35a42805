use super::{CrashedRun, End, Incarnation};
use serde::{Deserialize, Serialize};

/// The crash of a worker that its agent has observed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// The incarnation of the worker that has crashed.
    #[serde(rename = "lifetime")]
    pub incarnation: Incarnation,
    /// Runs that the crash may have ended, without those that had made progress.
    pub runs: Vec<CrashedRun>,
    /// Ends that the agent had read there and that no reply has confirmed as recorded.
    pub ends: Vec<End>,
}
