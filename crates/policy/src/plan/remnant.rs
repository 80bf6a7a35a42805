use super::worker::Placed;
use super::{Table, Worker};
use shallotflow_core::graph::Task;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;

/// A run that occupies a worker until its end is listed, though it is the current run of no task:
/// another run has done the task, its job has ended, or its job is not known.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Remnant {
    /// What the run occupies; `None` if its job is not known, so that nothing can start beside it.
    pub(super) placed: Option<Placed>,
    /// Whether the worker has listed the run, so that a list without it shows its end.
    pub(super) listed: bool,
}

impl Worker {
    /// Makes the placed run of `task` a remnant; it occupies what it did before.
    fn detach(&mut self, task: Task, run: u32) {
        let Some(placed) = self.placed.remove(&task) else { return };
        let remnant = Remnant { placed: Some(placed), listed: false };
        if let Some(former) = self.remnants.insert((task, run), remnant) {
            self.load.remove_remnant(&former);
        }
    }
}

impl Table {
    /// Lets the current run of a task occupy its worker, though the task does not wait for its end.
    pub(super) fn detach_run(&mut self, agent: &Name, task: Task, run: u32) {
        self.end_trial(agent, &task);
        self.uncount_run(agent, &task);
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.detach(task, run);
        }
    }

    /// Adds a run that a worker lists and that is the current run of no task.
    pub(super) fn add_remnant(&mut self, agent: &Name, task: Task, run: u32, now: Time) {
        let placed = self.placed(&task);
        let Some(worker) = self.workers.get_mut(agent) else { return };
        if let Some(remnant) = worker.remnants.get_mut(&(task, run)) {
            remnant.listed = true;
            return;
        }
        let remnant = Remnant { placed, listed: true };
        worker.load.add_remnant(&remnant);
        worker.remnants.insert((task, run), remnant);
        // It may have begun just now.
        worker.last_start = now;
        self.update_worker_lists(agent);
    }

    /// Removes a remnant that has ended, if there is one.
    pub(super) fn remove_remnant(&mut self, agent: &Name, task: Task, run: u32) {
        let Some(worker) = self.workers.get_mut(agent) else { return };
        let Some(remnant) = worker.remnants.remove(&(task, run)) else { return };
        worker.load.remove_remnant(&remnant);
        self.apply_freed(agent);
    }
}
