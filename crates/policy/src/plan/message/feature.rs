use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Task;
use shallotflow_core::name::Name;

/// What an agent has to know of a run that another process of it started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Feature {
    /// The task.
    pub task: Task,
    /// The number of the run.
    pub run: u32,
    /// What it runs, if that is known.
    pub image: Option<Name>,
    /// Processors that it asks for, thousandths.
    pub millicores: u32,
    /// Whether it uses only what others leave.
    pub fills: bool,
    /// Bound of its tail latency, milliseconds; 0 for a task that serves nobody.
    pub target_ms: u32,
}
