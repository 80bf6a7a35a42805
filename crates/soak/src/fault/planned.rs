use super::Fault;
use std::time::Duration;

/// A fault with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Planned {
    /// When it comes, after the start of the load.
    pub at: Duration,
    /// How long it lasts, or a process is away.
    pub lasts: Duration,
    /// What goes wrong.
    pub fault: Fault,
}
