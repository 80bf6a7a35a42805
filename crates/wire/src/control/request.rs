//! Calls to a worker.

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

/// Makes the caller the only agent of the worker.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Attach {
    /// The caller's incarnation; must be above that of any earlier agent.
    pub incarnation: u64,
}

/// Starts a task; a second start of the same key changes nothing.
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
    /// What is set aside for it.
    pub resources: Bundle,
    /// Whether the job may run again after it may have run.
    pub idempotent: bool,
    /// The checkpoint to resume from, empty for a start from the beginning.
    pub checkpoint: String,
    /// The body handed to the task.
    pub payload: String,
    /// Until when it may run without a renewal, on the worker's clock.
    pub deadline_us: u64,
}

/// The lease of one task.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// The task.
    pub key: Key,
    /// Until when it may run, on the worker's clock; an earlier deadline changes nothing.
    pub deadline_us: u64,
}

/// Extends leases.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Renew {
    /// The caller's incarnation.
    pub incarnation: u64,
    /// The leases, one for each task.
    pub leases: Vec<Lease>,
}

/// Limits the processor share of a task.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Throttle {
    /// The caller's incarnation.
    pub incarnation: u64,
    /// The task.
    pub key: Key,
    /// Thousandths of its full speed, 1 to 1000.
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

/// Stops a task; one that has ended stays as it is.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    /// The caller's incarnation.
    pub incarnation: u64,
    /// The task.
    pub key: Key,
    /// Whether to take a checkpoint first; the task counts as evicted then.
    pub checkpoint: bool,
}

/// Lets the worker forget tasks that have ended.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Acknowledge {
    /// The caller's incarnation.
    pub incarnation: u64,
    /// The tasks; running and unknown ones are passed over.
    pub keys: Vec<Key>,
}

/// Lists what the worker holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct List {
    /// The caller's incarnation.
    pub incarnation: u64,
    /// Waits while the version of the list is still this one; zero never waits.
    pub after: u64,
    /// The longest wait, milliseconds.
    pub wait_ms: u64,
}

/// Reads usage reports that have become available.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Usage {
    /// The caller's incarnation.
    pub incarnation: u64,
    /// Only samples of moments after this one, on the worker's clock.
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
