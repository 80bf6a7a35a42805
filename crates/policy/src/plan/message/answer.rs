use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Task;

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The run goes on at the worker.
    Started,
    /// The worker has no room for it.
    NoRoom,
    /// A run of this task with this number or a higher one was stopped or ended there.
    Old,
    /// The lease that came with the start had ended.
    Late,
    /// The worker is not healthy, and did nothing.
    Unhealthy,
    /// The worker is leaving, or has not registered yet.
    NotReady,
    /// The worker cannot read the order.
    Refused,
    /// The run is not at the worker and cannot start there any more.
    Absent,
}

impl Outcome {
    /// The name, as logs have it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::NoRoom => "no-room",
            Self::Old => "old",
            Self::Late => "late",
            Self::Unhealthy => "unhealthy",
            Self::NotReady => "not-ready",
            Self::Refused => "refused",
            Self::Absent => "absent",
        }
    }
}

/// An agent's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The task.
    pub task: Task,
    /// The number of the run.
    pub run: u32,
    /// What became of it.
    pub outcome: Outcome,
}
