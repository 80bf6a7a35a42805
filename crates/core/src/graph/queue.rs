use crate::name::Name;
use serde::{Deserialize, Serialize};

/// How the jobs of a queue are run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Queue {
    /// The name of the queue.
    pub name: Name,
    /// The service whose workers run its tasks.
    pub service: Name,
    /// 0 goes first and may take the place of others.
    pub priority: u32,
    /// Failed runs of one task after which its job has failed.
    pub attempts: u32,
    /// The objective of a job, in multiples of its longest chain of work.
    pub stretch: f64,
    /// What is added to the objective, milliseconds.
    pub target_ms: u64,
}

impl Queue {
    /// The service of queues and workers that name none.
    pub const SERVICE: &'static str = "workers";
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            name: Name::from(""),
            service: Name::from(""),
            priority: 0,
            attempts: 1,
            stretch: 1.0,
            target_ms: 0,
        }
    }
}
