use serde::{Deserialize, Serialize};
use shallotflow_core::graph::State;
use shallotflow_core::name::Name;

/// What the store keeps of a job that has begun; tasks are numbered through the whole job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Progress {
    /// The state.
    pub state: State,
    /// When the job ended, milliseconds since 1970; 0 before.
    pub ended_ms: u64,
    /// Tasks that are done, as ranges from the first to the last of them.
    pub done: Vec<(u32, u32)>,
    /// Runs that failed, by task.
    pub failed: Vec<(u32, Vec<u32>)>,
    /// Checkpoints, by task.
    pub checkpoints: Vec<(u32, Name)>,
}
