use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Task;
use shallotflow_core::name::Name;

/// An active run at a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The task.
    pub task: Task,
    /// Run number.
    pub run: u32,
    /// The newest checkpoint, if any.
    pub checkpoint: Option<Name>,
    /// Completed work, percent; 100 for a long-running task once it is operating.
    pub percent: u8,
    /// Tail latency in milliseconds for a serving task, processor use in thousandths of a processor
    /// for others; over about the last half second.
    #[serde(rename = "figure")]
    pub measurement: u32,
    /// Speed that the agent allows, percent of full speed.
    pub pace: u8,
}
