use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Task;
use shallotflow_policy::plan::message::ExitReason;

/// Transition happened to a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "what", content = "how")]
pub enum Transition {
    /// It started.
    Started,
    /// It ended.
    Ended(ExitReason),
    /// Its end was confirmed before the lease ended, so that nobody hears of it here any more.
    Confirmed(ExitReason),
}

/// Something that happened at a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Counts the facts of one life of the worker, from 1.
    pub number: u64,
    /// When, microseconds since 1970 by the worker's clock.
    pub unix_us: u64,
    /// The task.
    pub task: Task,
    /// The number of the run.
    pub run: u32,
    /// The owner's number that the start named.
    pub epoch: u64,
    /// Transition happened.
    #[serde(rename = "what")]
    pub transition: Transition,
}
