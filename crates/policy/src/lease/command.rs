//! Commands of the lease table to the agent.

use shallotflow_core::task::Key;
use shallotflow_core::time::Time;

/// A command that the agent must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Offer the task for admission.
    Offer(Key),
    /// Remove the task from the admission queue; it must not start any more.
    Withdraw(Key),
    /// Extend the task's lease at the worker to the given time.
    Renew(Key, Time),
    /// Checkpoint the task at the worker and stop it, because its lease is about to expire.
    Checkpoint(Key),
    /// Stop the task at the worker.
    Stop(Key),
    /// Tell the worker that it may forget the ended task.
    Acknowledge(Key),
}
