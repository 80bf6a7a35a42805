use super::Clock;
use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Task;
use shallotflow_policy::plan::message::Incarnation;
use shallotflow_wire::control::Call;

/// Stops a run, and prevents later starts of it and of earlier runs of the task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stop {
    /// The expected incarnation of the worker; any other refuses.
    #[serde(rename = "lifetime")]
    pub incarnation: Incarnation,
    /// The task.
    pub task: Task,
    /// The number of the run.
    pub run: u32,
    /// The owner's epoch.
    pub epoch: u64,
}

impl Call for Stop {
    const PATH: &'static str = "/runs/stop";
    type Reply = Clock;
}
