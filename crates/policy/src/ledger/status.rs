//! What a worker says of one task.

use super::{Key, Phase};
use shallotflow_core::name::Name;

/// A task in a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Which attempt of which job.
    pub key: Key,
    /// How far it got.
    pub phase: Phase,
    /// The last checkpoint that the worker holds.
    pub checkpoint: Option<Name>,
    /// Why it failed, was refused or was evicted.
    pub reason: String,
}
