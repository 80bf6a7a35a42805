//! The execution of one task.

use super::model;
use super::work::Work;
use shallotflow_core::time::Time;
use shallotflow_wire::control::Task;

/// A batch task on the worker, from its start until the agent acknowledges its end.
pub(super) struct Execution {
    pub(super) task: Task,
    pub(super) work: Work,
    /// Whether the task fails when its work is done.
    pub(super) fails: bool,
    /// When the lease expires.
    pub(super) deadline: Time,
    /// Work that the latest checkpoint saves, in microseconds.
    pub(super) saved_us: f64,
    /// Work that was already done at the start, in microseconds.
    pub(super) resumed_us: f64,
    /// Number of checkpoints taken.
    pub(super) checkpoints: u32,
}

impl Execution {
    pub(super) fn extend(&mut self, deadline: Time) {
        self.deadline = self.deadline.max(deadline);
        self.task.deadline_us = self.deadline.as_micros();
    }

    pub(super) fn take_checkpoint(&mut self) {
        self.checkpoints += 1;
        self.saved_us = self.work.done_us;
        let work = &self.work;
        self.task.checkpoint =
            model::format_checkpoint(&self.task.key, self.checkpoints, work.done_us, work.total_us);
    }

    pub(super) fn report(&self) -> Task {
        Task {
            run_ms: ((self.work.done_us - self.resumed_us) / 1_000.0) as u64,
            unsaved_ms: ((self.work.done_us - self.saved_us) / 1_000.0) as u64,
            ..self.task.clone()
        }
    }
}
