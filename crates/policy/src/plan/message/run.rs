use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Task;
use shallotflow_core::name::Name;

/// A run that goes on at a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The task.
    pub task: Task,
    /// The number of the run.
    pub run: u32,
    /// The newest checkpoint, if there is one.
    pub checkpoint: Option<Name>,
    /// How much of its work is done, percent; of a lasting task, 100 once it is at work.
    pub percent: u8,
    /// Tail latency of a serving task in milliseconds, of others the processors in use in
    /// thousandths; over about the last half second.
    #[serde(rename = "figure")]
    pub measurement: u32,
    /// The share of its speed that its agent lets it have, percent.
    pub pace: u8,
}
