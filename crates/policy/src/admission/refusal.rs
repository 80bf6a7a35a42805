//! Why work was not admitted.

use shallotflow_core::class::Class;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use std::time::Duration;

/// Why work does not run here; it never started.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The worker could not hold it even when idle.
    #[error("needs {need} where the worker has {capacity}; ask for less")]
    NeverFits {
        /// What it needs.
        need: Bundle,
        /// What the worker has.
        capacity: Bundle,
    },
    /// The queue of its class is full.
    #[error("{length} {class} requests wait already; retry elsewhere")]
    QueueFull {
        /// The class.
        class: Class,
        /// Requests in the queue.
        length: usize,
    },
    /// It would wait until after its deadline.
    #[error("the wait of about {wait:?} ends after the deadline {deadline}; retry elsewhere")]
    TooLate {
        /// The expected wait.
        wait: Duration,
        /// Its deadline.
        deadline: Time,
    },
    /// Its deadline passed while it waited.
    #[error("the deadline {deadline} passed before a start; allow more time")]
    DeadlinePassed {
        /// Its deadline.
        deadline: Time,
    },
    /// The worker takes no new work.
    #[error("the worker is leaving; retry elsewhere")]
    Leaving,
}
