//! A job as submitted by its caller.

use crate::name::Name;
use crate::resources::Bundle;
use serde::{Deserialize, Serialize};

/// A job as submitted; immutable afterwards.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Spec {
    /// The caller that submitted it.
    pub caller: Name,
    /// The kind of work.
    pub kind: Name,
    /// The resources that the caller declares.
    pub resources: Bundle,
    /// The run time that the caller declares, in milliseconds.
    pub declared_run_ms: u64,
    /// Whether a job that may have run can be run again.
    pub idempotent: bool,
    /// Higher values start first; [`Spec::URGENT_PRIORITY`] and above are urgent.
    pub priority: u8,
    /// The request body passed to the worker.
    pub payload: String,
}

impl Spec {
    /// The lowest urgent priority.
    pub const URGENT_PRIORITY: u8 = 200;
}
