use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Task;
use shallotflow_policy::plan::message::ExitReason;

/// A change of the state of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "what", content = "how")]
pub enum Transition {
    /// The run started.
    Started,
    /// The run ended.
    Ended(ExitReason),
    /// The end was confirmed before the lease expired, so the worker no longer lists it.
    Confirmed(ExitReason),
}

/// A transition of a run at a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number within one incarnation of the worker, from 1.
    pub number: u64,
    /// Time by the worker's clock, in microseconds since the Unix epoch.
    pub unix_us: u64,
    /// The task.
    pub task: Task,
    /// Run number.
    pub run: u32,
    /// Epoch of the owner that started the run.
    pub epoch: u64,
    /// The transition.
    #[serde(rename = "what")]
    pub transition: Transition,
}
