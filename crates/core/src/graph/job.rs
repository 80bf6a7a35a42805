use super::{Queue, Spec};
use serde::{Deserialize, Serialize};

/// An accepted spec with a copy of its queue's configuration at that time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Job {
    /// The queue as configured on acceptance; a newer configuration takes precedence.
    pub queue: Queue,
    /// The spec as submitted by the caller.
    pub spec: Spec,
    /// Time of acceptance, milliseconds since the Unix epoch by the accepting host's clock.
    pub accepted_ms: u64,
}
