use shallotflow_core::graph::Task;
use shallotflow_core::time::Time;

/// A worker that is kept for a task that may have crashed another one: no other task starts there.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Trial {
    /// The suspected task.
    pub(super) task: Task,
    /// Whether its start was ordered; before, younger runs at the worker are awaited.
    pub(super) started: bool,
    /// When the trial ends unless it is decided before.
    pub(super) until: Time,
}
