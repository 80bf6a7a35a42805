//! Commands for batch tasks.

use shallotflow_core::task::Key;

/// A command for one batch task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Set its CPU share, thousandths.
    Throttle(Key, u32),
    /// Checkpoint and stop it.
    Evict(Key),
}
