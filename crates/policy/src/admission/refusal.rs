//! Reasons for not admitting work.

use shallotflow_core::class::Class;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use std::time::Duration;

/// The reason why work was not admitted; the work never started.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The work would not fit even on the idle worker.
    #[error("needs {need} where the worker has {capacity}; ask for less")]
    NeverFits {
        /// The resources that the work needs.
        need: Bundle,
        /// The resources of the worker.
        capacity: Bundle,
    },
    /// The queue of the class is full.
    #[error("{length} {class} requests wait already; retry elsewhere")]
    QueueFull {
        /// The class.
        class: Class,
        /// Number of requests in the queue.
        length: usize,
    },
    /// The work would wait until after its deadline.
    #[error("the wait of about {wait:?} ends after the deadline {deadline}; retry elsewhere")]
    TooLate {
        /// The expected wait.
        wait: Duration,
        /// The deadline for the start.
        deadline: Time,
    },
    /// The deadline passed while the work waited.
    #[error("the deadline {deadline} passed before a start; allow more time")]
    DeadlinePassed {
        /// The deadline for the start.
        deadline: Time,
    },
    /// The worker is leaving and accepts no new work.
    #[error("the worker is leaving; retry elsewhere")]
    Leaving,
}
