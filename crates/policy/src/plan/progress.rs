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
    /// Latest checkpoint by task.
    pub checkpoints: Vec<(u32, Name)>,
    /// Numbers of the runs under which a worker crashed, by task. Left out while there are none, so
    /// that entries of the former version can read the record.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub crashed: Vec<(u32, Vec<u32>)>,
    /// Those of them that may have crashed the worker.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub suspected: Vec<(u32, Vec<u32>)>,
    /// Those of them that cannot have ended before the crash.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub certain: Vec<(u32, Vec<u32>)>,
}
