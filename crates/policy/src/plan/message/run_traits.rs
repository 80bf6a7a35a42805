use super::Traits;
use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Task;

/// What an agent has to know of a run that another process of it started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunTraits {
    /// The task.
    pub task: Task,
    /// The number of the run.
    pub run: u32,
    /// What is to be known.
    pub traits: Traits,
}
