//! What must hold, from what workers are told and do.

use shallotflow_core::graph::{Id, Task};
use std::collections::{BTreeMap, BTreeSet};

/// What the oracle knows of one task.
#[derive(Default)]
struct Fact {
    running: BTreeSet<usize>,
    /// Whether a run has ended as done and the worker was told to forget it.
    confirmed: bool,
    /// Whether a run has ended as done.
    done: bool,
    /// Failed runs that the worker was told to forget.
    failures: u32,
}

/// Facts of all tasks and the promises over them.
#[derive(Default)]
pub(crate) struct Oracle {
    facts: BTreeMap<Task, Fact>,
    /// Tasks of the first step of each job, which the second waits for.
    first: BTreeMap<Id, u32>,
    pub(crate) broken: Option<String>,
}

impl Oracle {
    pub(crate) fn accept(&mut self, job: Id, first: u32) {
        self.first.insert(job, first);
    }

    pub(crate) fn start(&mut self, worker: usize, task: Task, attempts: u32) {
        let Some(first) = self.first.get(&task.job).copied() else {
            return self.fail(format!("{task} was never asked for"));
        };
        if task.step == 1 {
            let before = (0..first).map(|index| Task { step: 0, index, ..task });
            let open = before.filter(|before| !self.facts.get(before).is_some_and(|f| f.done));
            if let Some(before) = open.into_iter().next() {
                return self.fail(format!("{task} started before {before} was done"));
            }
        }
        let fact = self.facts.entry(task).or_default();
        let twice = fact.running.iter().any(|other| *other != worker);
        let (confirmed, failures) = (fact.confirmed, fact.failures);
        fact.running.insert(worker);
        if twice {
            self.fail(format!("{task} runs twice"));
        } else if confirmed {
            self.fail(format!("{task} started after its end was confirmed"));
        } else if failures >= attempts {
            self.fail(format!("{task} started after {failures} failures"));
        }
    }

    /// A run is over, however.
    pub(crate) fn over(&mut self, worker: usize, task: Task) {
        self.facts.entry(task).or_default().running.remove(&worker);
    }

    pub(crate) fn done(&mut self, task: Task) {
        self.facts.entry(task).or_default().done = true;
    }

    pub(crate) fn forgotten(&mut self, task: Task, done: bool, failed: bool) {
        let fact = self.facts.entry(task).or_default();
        fact.confirmed |= done;
        fact.failures += u32::from(failed);
    }

    /// The job is shown as completed.
    pub(crate) fn shown_completed(&mut self, job: Id, tasks: &[Task]) {
        let open = tasks.iter().find(|task| !self.facts.get(task).is_some_and(|f| f.done));
        if let Some(open) = open {
            self.fail(format!("{job} is shown as completed though {open} is not done"));
        }
    }

    pub(crate) fn is_running(&self, task: Task) -> bool {
        self.facts.get(&task).is_some_and(|fact| !fact.running.is_empty())
    }

    pub(crate) fn fail(&mut self, what: String) {
        self.broken.get_or_insert(what);
    }
}
