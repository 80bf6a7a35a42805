//! What a caller asked for.

use crate::name::Name;
use crate::resources::Bundle;
use serde::{Deserialize, Serialize};

/// A job as submitted; it never changes afterwards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// The caller that submitted it.
    pub caller: Name,
    /// The kind of work.
    pub kind: Name,
    /// What it says it needs.
    pub resources: Bundle,
    /// How long it says it runs, in milliseconds.
    pub declared_run_ms: u64,
    /// Whether it may run again after it may have run.
    pub idempotent: bool,
    /// Higher starts first; at least [`Spec::URGENT_PRIORITY`] is urgent.
    pub priority: u8,
    /// The body handed to the worker.
    pub payload: String,
}

impl Spec {
    /// The lowest priority that counts as urgent.
    pub const URGENT_PRIORITY: u8 = 200;
}
