use super::Clock;
use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Task;
use shallotflow_policy::plan::message::Incarnation;
use shallotflow_wire::control::Call;

/// Sets the pace of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pace {
    /// The expected incarnation of the worker; any other refuses.
    #[serde(rename = "lifetime")]
    pub incarnation: Incarnation,
    /// The task.
    pub task: Task,
    /// The number of the run.
    pub run: u32,
    /// The pace, in percent of the run's full speed.
    pub percent: u8,
    /// The owner's epoch.
    pub epoch: u64,
}

impl Call for Pace {
    const PATH: &'static str = "/runs/pace";
    type Reply = Clock;
}
