use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Task;

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The run is active at the worker.
    Started,
    /// The worker has too few free resources.
    NoRoom,
    /// A run of this task with this number or a higher one was stopped or has ended at the worker.
    Old,
    /// The lease sent with the start had already ended.
    Late,
    /// The worker is unhealthy and ignored the order.
    Unhealthy,
    /// The worker is leaving or has not registered yet.
    NotReady,
    /// The worker could not parse the order.
    Refused,
    /// The run is not active at the worker and can no longer start there.
    Absent,
}

impl Outcome {
    /// Returns the name used in logs.
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
    /// Run number.
    pub run: u32,
    /// Outcome of the order.
    pub outcome: Outcome,
}
