use super::{Queue, Spec};
use serde::{Deserialize, Serialize};

/// A spec that was accepted, with its queue as it was then.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Job {
    /// The queue; a newer configuration of the queue goes before it.
    pub queue: Queue,
    /// What the caller handed in.
    pub spec: Spec,
    /// When it was accepted, milliseconds since 1970 by the accepting host.
    pub accepted_ms: u64,
}
