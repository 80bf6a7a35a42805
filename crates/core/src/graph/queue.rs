use crate::name::Name;
use serde::{Deserialize, Serialize};

/// The settings shared by the jobs of a queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Queue {
    /// The name of the queue.
    pub name: Name,
    /// The service whose workers run its tasks.
    pub service: Name,
    /// Scheduling priority; jobs of queues with a lower number are placed first. Tasks of
    /// priority 0 may also preempt others; preemption is not implemented.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub attempts: u32,
    /// Target completion time of a job as a multiple of its critical path.
    pub stretch: f64,
    /// Time added to the target completion time, milliseconds.
    pub target_ms: u64,
}

impl Queue {
    /// The default service of queues and workers.
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
