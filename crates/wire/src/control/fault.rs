//! Errors of a worker's control interface.

use serde::{Deserialize, Serialize};

/// The reason why a worker refused a call; a refused call has no effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum Fault {
    /// Another incarnation is attached, or none has attached since the worker's boot.
    #[error(
        "incarnation {given} is not the attached one ({attached}); attach again, or exit if the \
         attached one is larger"
    )]
    Incarnation {
        /// The incarnation of the call.
        given: u64,
        /// The attached incarnation; zero if there is none.
        attached: u64,
    },
    /// The epoch of a start is below the highest that the worker has seen for the ledger.
    #[error("epoch {given} of ledger {ledger} is below {seen}; drop the grant")]
    Epoch {
        /// The number of the ledger.
        ledger: u32,
        /// The epoch of the call.
        given: u64,
        /// The highest epoch that the worker has seen.
        seen: u64,
    },
    /// The lease of a start has already expired.
    #[error("the lease ended {late_us} us ago; report and wait for a new grant")]
    Lapsed {
        /// Time between the end of the lease and the call, in microseconds.
        late_us: u64,
    },
    /// The worker holds no such task.
    #[error("the worker holds no task {task}; list its tasks")]
    UnknownTask {
        /// The key of the task, as text.
        task: String,
    },
    /// The call is not well-formed.
    #[error("the call is not well-formed ({detail}); see the protocol reference")]
    Malformed {
        /// The reason why the call is invalid.
        detail: String,
    },
}
