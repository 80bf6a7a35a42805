use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Task;
use shallotflow_core::name::Name;

/// Why a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ExitReason {
    /// It completed its work.
    Done,
    /// It failed, due to the task or to the worker.
    Failed,
    /// An order stopped it.
    Stopped,
    /// Its lease ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start.
    Alone,
}

impl ExitReason {
    /// Returns the name used in logs.
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
    /// Number of the end, counted from 1 within one incarnation of the worker.
    pub number: u64,
    /// The task.
    pub task: Task,
    /// Run number.
    pub run: u32,
    /// Why it ended.
    #[serde(rename = "how")]
    pub reason: ExitReason,
    /// The last checkpoint, if any.
    pub checkpoint: Option<Name>,
}
