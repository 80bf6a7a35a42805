//! A task that a worker holds.

use super::plan;
use super::work::Work;
use shallotflow_core::time::Time;
use shallotflow_wire::control::Task;

/// A batch task, running or ended.
pub(super) struct Held {
    pub(super) task: Task,
    pub(super) work: Work,
    pub(super) fails: bool,
    pub(super) deadline: Time,
    pub(super) saved_us: f64,
    pub(super) resumed_us: f64,
    pub(super) checkpoints: u32,
}

impl Held {
    pub(super) fn extend(&mut self, deadline: Time) {
        self.deadline = self.deadline.max(deadline);
        self.task.deadline_us = self.deadline.as_micros();
    }

    pub(super) fn save(&mut self) {
        self.checkpoints += 1;
        self.saved_us = self.work.done_us;
        let work = &self.work;
        self.task.checkpoint =
            plan::checkpoint(&self.task.key, self.checkpoints, work.done_us, work.total_us);
    }

    pub(super) fn report(&self) -> Task {
        Task {
            run_ms: ((self.work.done_us - self.resumed_us) / 1_000.0) as u64,
            unsaved_ms: ((self.work.done_us - self.saved_us) / 1_000.0) as u64,
            ..self.task.clone()
        }
    }
}
