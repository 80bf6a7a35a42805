use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Task;
use shallotflow_core::name::Name;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ExitReason {
    /// Its work is done.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

impl ExitReason {
    /// The name, as logs have it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
        }
    }
}

/// A run that has ended at a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Counts the ends of one life of the worker, from 1.
    pub number: u64,
    /// The task.
    pub task: Task,
    /// The number of the run.
    pub run: u32,
    /// How it ended.
    #[serde(rename = "how")]
    pub reason: ExitReason,
    /// The last checkpoint, if there is one.
    pub checkpoint: Option<Name>,
}
