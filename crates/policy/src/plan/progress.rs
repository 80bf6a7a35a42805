use serde::{Deserialize, Serialize};
use shallotflow_core::graph::State;
use shallotflow_core::name::Name;

/// The stored progress of a job that has started. Tasks are numbered across the whole job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Progress {
    /// The state of the job.
    pub state: State,
    /// End time in milliseconds since 1970; 0 while the job has not ended.
    pub ended_ms: u64,
    /// Completed tasks as inclusive ranges `(first, last)`.
    pub done: Vec<(u32, u32)>,
    /// Numbers of failed runs by task.
    pub failed: Vec<(u32, Vec<u32>)>,
    /// Numbers of the runs under which a worker crashed, by task.
    pub crashed: Vec<(u32, Vec<u32>)>,
    /// Numbers of the runs that may have crashed the worker, by task.
    pub suspected: Vec<(u32, Vec<u32>)>,
    /// Latest checkpoint by task.
    pub checkpoints: Vec<(u32, Name)>,
}
