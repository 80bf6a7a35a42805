//! Requests to a worker.

use super::reply::{Attached, Checkpointed, Done, Listing, Samples, Stopped};
use super::{Call, Key};
use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;

macro_rules! call {
    ($request:ty, $path:literal, $reply:ty) => {
        impl Call for $request {
            const PATH: &'static str = $path;
            type Reply = $reply;
        }
    };
}

/// Makes the caller the only agent that the worker accepts calls from.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Attach {
    /// The caller's incarnation; must be larger than that of any earlier agent.
    pub incarnation: u64,
}

/// Starts a task; idempotent by its key.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Start {
    /// The caller's incarnation.
    pub incarnation: u64,
    /// The identity of the task.
    pub key: Key,
    /// The epoch of its grant.
    pub epoch: u64,
    /// The kind of work.
    pub kind: Name,
    /// Resources reserved for the task.
    pub resources: Bundle,
    /// Whether the job may run more than once.
    pub idempotent: bool,
    /// The checkpoint to resume from; empty to start from the beginning.
    pub checkpoint: String,
    /// The input of the task.
    pub payload: String,
    /// Time until which the task may run unless its lease is renewed, in microseconds of the
    /// worker's clock.
    pub deadline_us: u64,
}

/// The lease of one task.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// The task.
    pub key: Key,
    /// Time until which the task may run, in microseconds of the worker's clock; ignored if it is
    /// earlier than the current deadline.
    pub deadline_us: u64,
}

/// Extends the leases of tasks.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Renew {
    /// The caller's incarnation.
    pub incarnation: u64,
    /// The new leases, one per task.
    pub leases: Vec<Lease>,
}

/// Limits the CPU share of a task.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Throttle {
    /// The caller's incarnation.
    pub incarnation: u64,
    /// The task.
    pub key: Key,
    /// CPU share in thousandths of full speed, from 1 to 1000.
    pub share_milli: u32,
}

/// Takes a checkpoint of a running task.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpoint {
    /// The caller's incarnation.
    pub incarnation: u64,
    /// The task.
    pub key: Key,
}

/// Stops a task; has no effect on a task that has ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// The caller's incarnation.
    pub incarnation: u64,
    /// The task.
    pub key: Key,
    /// Whether to take a checkpoint first; the final phase is then "evicted".
    pub checkpoint: bool,
}

/// Removes ended tasks from the worker's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Acknowledge {
    /// The caller's incarnation.
    pub incarnation: u64,
    /// The tasks; running and unknown ones are ignored.
    pub keys: Vec<Key>,
}

/// Lists the tasks and requests that the worker holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct List {
    /// The caller's incarnation.
    pub incarnation: u64,
    /// Waits while the list still has this version; zero returns immediately.
    pub after: u64,
    /// Maximum wait, in milliseconds.
    pub wait_ms: u64,
}

/// Reads the usage samples that have become available.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Usage {
    /// The caller's incarnation.
    pub incarnation: u64,
    /// Selects samples measured after this time, in microseconds of the worker's clock.
    pub after_us: u64,
}

call!(Attach, "/attach", Attached);
call!(Start, "/start", Done);
call!(Renew, "/renew", Done);
call!(Throttle, "/throttle", Done);
call!(Checkpoint, "/checkpoint", Checkpointed);
call!(Stop, "/stop", Stopped);
call!(Acknowledge, "/acknowledge", Done);
call!(List, "/list", Listing);
call!(Usage, "/usage", Samples);
