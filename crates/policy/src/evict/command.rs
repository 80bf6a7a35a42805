//! What to do to batch tasks.

use shallotflow_core::task::Key;

/// A command for one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Set its processor share, thousandths.
    Throttle(Key, u32),
    /// Take a checkpoint and stop it.
    Evict(Key),
}
