use super::Traits;
use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Task;
use shallotflow_core::name::Name;
use std::sync::Arc;

/// The action that an order requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Start the run.
    Start {
        /// Text of the job.
        text: Arc<str>,
        /// Checkpoint to resume from, if the task has saved one.
        checkpoint: Option<Name>,
        /// Traits of the run that the agent needs.
        traits: Traits,
    },
    /// Stop the run, and never start it afterwards.
    Stop,
}

/// An order of the owner to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Number of the order, counted from 1 for each process of the agent.
    pub number: u64,
    /// The task.
    pub task: Task,
    /// Run number.
    pub run: u32,
    /// Requested action.
    pub kind: Kind,
}
