use super::Traits;
use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Task;
use shallotflow_core::name::Name;
use std::sync::Arc;

/// What a worker is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// Start the run.
    Start {
        /// The text of the job.
        text: Arc<str>,
        /// Where to go on, if the task has saved its progress.
        checkpoint: Option<Name>,
        /// What the agent has to know of it beside.
        traits: Traits,
    },
    /// End the run, and never start it later.
    Stop,
}

/// An order of the owner to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Counts the orders to one process of the agent, from 1.
    pub number: u64,
    /// The task.
    pub task: Task,
    /// The number of the run.
    pub run: u32,
    /// What is asked for.
    pub kind: Kind,
}
