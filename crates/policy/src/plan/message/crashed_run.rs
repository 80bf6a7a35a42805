use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Task;

/// A run that the crash of its worker may have ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// The task.
    pub task: Task,
    /// Run number.
    pub run: u32,
    /// Whether the worker has answered the start or listed the run; otherwise the start may not have
    /// been carried out.
    pub carried_out: bool,
    /// For how long after its start the worker has shown that it lives, in milliseconds.
    pub outlived_ms: u64,
}
