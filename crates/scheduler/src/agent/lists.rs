use serde::{Deserialize, Serialize};
use shallotflow_core::list::Received;
use shallotflow_policy::plan::message::{End, Incarnation, Run};

/// A worker's lists of active and ended runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Answer")]
pub struct Lists {
    /// The worker's incarnation.
    #[serde(rename = "lifetime")]
    pub incarnation: Incarnation,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// The active runs.
    pub running: Received<Run>,
    /// The ends that are not confirmed yet, oldest first; each has a higher number than those before it.
    pub ends: Received<End>,
}

impl Lists {
    /// Maximum number of ends that a worker lists at a time; a list with as many may have been cut.
    pub const MAX_ENDS: usize = 500;
}

/// The lists as a worker sends them.
#[derive(Deserialize)]
struct Answer {
    #[serde(rename = "lifetime")]
    incarnation: Incarnation,
    clock_ms: u64,
    running: Vec<Run>,
    ends: Vec<End>,
}

impl From<Answer> for Lists {
    fn from(answer: Answer) -> Self {
        let Answer { incarnation, clock_ms, running, ends } = answer;
        let has_more = ends.len() >= Self::MAX_ENDS;
        let (running, ends) = (Received::new(running, false), Received::new(ends, has_more));
        Self { incarnation, clock_ms, running, ends }
    }
}
