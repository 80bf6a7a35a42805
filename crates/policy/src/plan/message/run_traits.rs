use super::Traits;
use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Task;

/// The traits of a run that a former process of the agent started, sent at the agent's request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTraits {
    /// The task.
    pub task: Task,
    /// Run number.
    pub run: u32,
    /// Traits of the run.
    pub traits: Traits,
}
