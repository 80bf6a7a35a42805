//! Answers of a worker.

use super::{ActiveRequest, Key, Phase, Task};
use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;

/// The worker takes calls of this incarnation only, from now on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Attached {
    /// Differs for each restart of the worker.
    pub boot: u64,
    /// The worker's clock.
    pub now_us: u64,
    /// What the worker can hold.
    pub capacity: Bundle,
    /// The kinds that its target serves.
    pub kinds: Vec<Name>,
    /// What it holds.
    pub held: Listing,
}

/// The call was carried out.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Done {}

/// A checkpoint was taken.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Checkpointed {
    /// Its name.
    pub checkpoint: String,
}

/// The task does not run any more.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stopped {
    /// How it ended.
    pub phase: Phase,
    /// Its last checkpoint, empty if none.
    pub checkpoint: String,
}

/// What the worker holds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listing {
    /// Changes with the phase of any task.
    pub version: u64,
    /// Running tasks, and ended ones that are not acknowledged.
    pub tasks: Vec<Task>,
    /// Requests that the target is working on.
    pub requests: Vec<ActiveRequest>,
}

/// The usage of one task or request at one moment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sample {
    /// The moment that it describes.
    pub at_us: u64,
    /// The task; none for a request.
    pub key: Option<Key>,
    /// The kind of work.
    pub kind: Name,
    /// What it used.
    pub usage: Bundle,
    /// How many times slower than alone it ran, thousandths.
    pub slowdown_milli: u32,
}

/// Usage reports; they become available some time after the moment they describe.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Samples {
    /// The samples, oldest first.
    pub samples: Vec<Sample>,
}
