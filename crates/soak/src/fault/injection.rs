use super::Fault;
use std::time::Duration;

/// A scheduled fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Injection {
    /// Time of the injection, after the start of the load.
    pub at: Duration,
    /// How long the fault lasts or the process stays down.
    pub duration: Duration,
    /// The fault.
    pub fault: Fault,
}
