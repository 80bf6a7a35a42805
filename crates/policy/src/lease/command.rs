//! What the agent must carry out.

use shallotflow_core::task::Key;
use shallotflow_core::time::Time;

/// A command to the agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Offer the task for admission.
    Offer(Key),
    /// Take the task out of the queue; it must not start any more.
    Withdraw(Key),
    /// Extend the task's lease at the worker.
    Renew(Key, Time),
    /// Checkpoint the task at the worker and stop it there; its lease is about to pass.
    Checkpoint(Key),
    /// Stop the task at the worker.
    Stop(Key),
    /// Let the worker forget the task.
    Acknowledge(Key),
}
