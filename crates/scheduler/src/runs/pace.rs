use super::Clock;
use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Task;
use shallotflow_policy::plan::message::Incarnation;
use shallotflow_wire::control::Call;

/// Lets a run work at a share of its speed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// The life of the worker that is meant; any other refuses.
    #[serde(rename = "lifetime")]
    pub incarnation: Incarnation,
    /// The task.
    pub task: Task,
    /// The number of the run.
    pub run: u32,
    /// The share, percent.
    pub percent: u8,
    /// The owner's number.
    pub epoch: u64,
}

impl Call for Pace {
    const PATH: &'static str = "/runs/pace";
    type Reply = Clock;
}
