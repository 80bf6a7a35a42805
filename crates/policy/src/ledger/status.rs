//! Task status in a report.

use super::{Key, Phase};
use shallotflow_core::name::Name;

/// The status of one task in a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The attempt of the job.
    pub key: Key,
    /// The phase of the task.
    pub phase: Phase,
    /// The last checkpoint that the worker has.
    pub checkpoint: Option<Name>,
    /// Why the task failed, was refused or was evicted.
    pub reason: String,
}
