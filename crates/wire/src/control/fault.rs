//! Refusals of the control interface.

use serde::{Deserialize, Serialize};

/// Why a worker refused a call; nothing was carried out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum Fault {
    /// Another incarnation attached, or none did since the worker's boot.
    #[error(
        "incarnation {given} is not the one attached ({attached}); attach again, or end if it is \
         larger"
    )]
    Incarnation {
        /// The incarnation of the call.
        given: u64,
        /// The one attached, zero if none is.
        attached: u64,
    },
    /// A start with an epoch below the highest that the worker has seen for the ledger.
    #[error("epoch {given} of ledger {ledger} is below {seen}; drop the grant")]
    Epoch {
        /// The ledger.
        ledger: u32,
        /// The epoch of the call.
        given: u64,
        /// The highest epoch seen.
        seen: u64,
    },
    /// A start whose lease has passed already.
    #[error("the lease ended {late_us} us ago; report and wait for a new grant")]
    Lapsed {
        /// How late the call came, microseconds.
        late_us: u64,
    },
    /// The worker holds no such task.
    #[error("the worker holds no task {task}; list its tasks")]
    UnknownTask {
        /// The task, as text.
        task: String,
    },
    /// The call is not well-formed.
    #[error("the call is not well-formed ({detail}); see the protocol reference")]
    Malformed {
        /// What is wrong with it.
        detail: String,
    },
}
