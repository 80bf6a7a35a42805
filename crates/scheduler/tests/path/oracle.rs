//! The guarantees that must hold, checked from the calls to workers and what workers do.

use shallotflow_core::graph::{Id, Task};
use shallotflow_policy::plan::message::{End, ExitReason};
use std::collections::{BTreeMap, BTreeSet};

/// A task that crashes workers may start twice more after so many of them.
const CRASHES: u32 = 3;
/// Number of starts after [`CRASHES`] that breaks the rule.
const STARTS_AFTER_CRASHES: u32 = 3;
/// Time in which a confirmed request to evacuate a failure domain has to apply, in milliseconds.
const EVACUATION_MS: u64 = 5_000;
/// Number of crashes under a task after which its job may be shown as failed.
const CRASHES_TO_GIVE_UP: u32 = 2;

/// What the oracle has observed of one task.
#[derive(Default)]
struct Observed {
    running: BTreeSet<usize>,
    /// Whether a run has ended as done and the worker was told to forget that end.
    confirmed: bool,
    /// Runs that have ended as done.
    done: BTreeSet<u32>,
    /// Those of them after whose end another run has started.
    repeated: BTreeSet<u32>,
    /// Number of workers that crashed under it.
    crashes: u32,
    /// Number of starts after three workers crashed under it.
    starts_after_crashes: u32,
    /// Number of failed runs.
    failed_runs: u32,
    /// Number of failed runs whose ends the worker was told to forget.
    failures: u32,
}

/// Observations of all tasks, and the guarantees over them.
#[derive(Default)]
pub(crate) struct Oracle {
    tasks: BTreeMap<Task, Observed>,
    /// Number of tasks in the first step of each job, which the second step waits for.
    first: BTreeMap<Id, u32>,
    /// Tasks that crash the workers that start them.
    deadly: BTreeSet<Task>,
    /// From when on nothing may be sent to start at each evacuated worker.
    evacuated: BTreeMap<usize, u64>,
    pub(crate) broken: Option<String>,
}

impl Oracle {
    pub(crate) fn accept(&mut self, job: Id, first: u32) {
        self.first.insert(job, first);
    }

    pub(crate) fn start(&mut self, worker: usize, task: Task, attempts: u32) {
        let Some(first) = self.first.get(&task.job).copied() else {
            return self.fail(format!("{task} was never submitted"));
        };
        if task.step == 1 {
            let before = (0..first).map(|index| Task { step: 0, index, ..task });
            let open = before.filter(|before| !self.is_done(before));
            if let Some(before) = open.into_iter().next() {
                return self.fail(format!("{task} started before {before} was done"));
            }
        }
        let observed = self.tasks.entry(task).or_default();
        let twice = observed.running.iter().any(|other| *other != worker);
        let (confirmed, failures) = (observed.confirmed, observed.failures);
        if observed.crashes >= CRASHES {
            observed.starts_after_crashes += 1;
        }
        let starts = observed.starts_after_crashes;
        observed.running.insert(worker);
        observed.repeated.extend(&observed.done);
        if twice {
            self.fail(format!("{task} runs twice"));
        } else if confirmed {
            self.fail(format!("{task} started after its end was confirmed"));
        } else if failures >= attempts {
            self.fail(format!("{task} started after {failures} failures"));
        } else if starts >= STARTS_AFTER_CRASHES && self.deadly.contains(&task) {
            self.fail(format!("{task} started {starts} times after {CRASHES} crashes"));
        }
    }

    /// Records a request to evacuate the worker, which the store confirmed at `now`.
    pub(crate) fn evacuate(&mut self, worker: usize, now: u64) {
        self.evacuated.entry(worker).or_insert(now + EVACUATION_MS);
    }

    /// Records that the request was withdrawn.
    pub(crate) fn readmit(&mut self, worker: usize) {
        self.evacuated.remove(&worker);
    }

    /// Extends the time in which requests have to apply by `span`, in which the store has answered
    /// nobody, so that nobody can have learned of them.
    pub(crate) fn extend_evacuations(&mut self, now: u64, span: u64) {
        for deadline in self.evacuated.values_mut().filter(|deadline| **deadline > now) {
            *deadline += span;
        }
    }

    /// Checks a start that an agent in touch with an owner sends to the worker.
    pub(crate) fn check_evacuated(&mut self, worker: usize, task: Task, now: u64) {
        if let Some(deadline) = self.evacuated.get(&worker).copied().filter(|at| *at < now) {
            let late = now - deadline;
            self.fail(format!("{task} is sent to evacuated worker {worker}, {late} ms too late"));
        }
    }

    pub(crate) fn mark_deadly(&mut self, task: Task) {
        self.deadly.insert(task);
    }

    pub(crate) fn is_deadly(&self, task: Task) -> bool {
        self.deadly.contains(&task)
    }

    /// Records that a worker has crashed under the run of `task`.
    pub(crate) fn mark_crashed(&mut self, worker: usize, task: Task) {
        self.mark_ended(worker, task);
        self.tasks.entry(task).or_default().crashes += 1;
    }

    pub(crate) fn mark_failed(&mut self, task: Task) {
        self.tasks.entry(task).or_default().failed_runs += 1;
    }

    /// Checks that a job that is shown as failed has a task that failed in all its attempts, or under
    /// which two workers have crashed.
    pub(crate) fn check_failed(&mut self, job: Id, tasks: &[Task], attempts: u32) {
        let cause = |task: &Task| {
            let observed = self.tasks.get(task);
            observed.is_some_and(|observed| {
                observed.failed_runs >= attempts || observed.crashes >= CRASHES_TO_GIVE_UP
            })
        };
        if !tasks.iter().any(cause) {
            self.fail(format!("{job} is shown as failed without a cause"));
        }
    }

    /// Checks that a start does not bring its worker over its capacity.
    pub(crate) fn check_capacity(&mut self, worker: usize, task: Task, used: u32, capacity: u32) {
        if used > capacity {
            self.fail(format!("{task} brings worker {worker} of {capacity} to {used}"));
        }
    }

    /// Records the end of a run, for any reason.
    pub(crate) fn mark_ended(&mut self, worker: usize, task: Task) {
        self.tasks.entry(task).or_default().running.remove(&worker);
    }

    pub(crate) fn mark_done(&mut self, task: Task, run: u32) {
        self.tasks.entry(task).or_default().done.insert(run);
    }

    /// Records that the worker was told to forget an end; `leased` is whether its lease has lasted
    /// since that end.
    pub(crate) fn mark_forgotten(&mut self, end: &End, leased: bool) {
        let End { task, run, reason, .. } = *end;
        let observed = self.tasks.entry(task).or_default();
        observed.confirmed |= reason == ExitReason::Done;
        observed.failures += u32::from(reason == ExitReason::Failed);
        if leased && observed.repeated.contains(&run) {
            self.fail(format!("{task} started after run {run} was done, whose end was confirmed"));
        }
    }

    /// Checks that every task of a job that is shown as completed is done.
    pub(crate) fn check_completed(&mut self, job: Id, tasks: &[Task]) {
        let open = tasks.iter().find(|task| !self.is_done(task));
        if let Some(open) = open {
            self.fail(format!("{job} is shown as completed though {open} is not done"));
        }
    }

    fn is_done(&self, task: &Task) -> bool {
        self.tasks.get(task).is_some_and(|observed| !observed.done.is_empty())
    }

    pub(crate) fn is_running(&self, task: Task) -> bool {
        self.tasks.get(&task).is_some_and(|observed| !observed.running.is_empty())
    }

    pub(crate) fn fail(&mut self, what: String) {
        self.broken.get_or_insert(what);
    }
}
