use super::Clock;
use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Task;
use shallotflow_policy::plan::message::Incarnation;
use shallotflow_wire::control::Call;

/// Ends a run, and keeps it and earlier runs of the task from starting later.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// The life of the worker that is meant; any other refuses.
    #[serde(rename = "lifetime")]
    pub incarnation: Incarnation,
    /// The task.
    pub task: Task,
    /// The number of the run.
    pub run: u32,
    /// The owner's number.
    pub epoch: u64,
}

impl Call for Stop {
    const PATH: &'static str = "/runs/stop";
    type Reply = Clock;
}
