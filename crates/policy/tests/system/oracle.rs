//! The oracle: records what the fake workers do and what callers are told, and checks invariants.
//!
//! The code under test never writes to it. Each check is one invariant, identified by a name.

use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::task::Key;
use std::collections::{BTreeMap, BTreeSet};

/// The history of one run and the violations found in it.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    /// Jobs that are not idempotent, so that they may run at most once.
    pub(crate) once: BTreeSet<Name>,
    /// Jobs that callers were told are recorded.
    pub(crate) accepted: BTreeSet<Name>,
    /// Jobs that callers were told were cancelled before they ran.
    pub(crate) cancelled: BTreeSet<Name>,
    running: BTreeMap<Name, (usize, Key)>,
    started: BTreeSet<Key>,
    starts_from_beginning: BTreeMap<Name, u32>,
    resumed: BTreeSet<(Name, Name)>,
    completions: BTreeMap<Name, u32>,
    acknowledged: BTreeSet<Name>,
    violations: Vec<(&'static str, String)>,
}

impl Oracle {
    /// Records that a worker starts a task.
    pub(crate) fn start(&mut self, worker: usize, key: &Key, checkpoint: Option<&Name>) {
        let job = &key.job;
        if let Some((other, running)) = self.running.insert(job.clone(), (worker, key.clone())) {
            self.violate(
                "one-worker-at-a-time",
                format!("{key} starts while {running} on {other}"),
            );
        }
        if !self.started.insert(key.clone()) {
            self.violate("resume-once", format!("{key} starts twice"));
        }
        if self.cancelled.contains(job) {
            self.violate("cancelled-never-starts", format!("{key} starts after it was cancelled"));
        }
        if self.acknowledged.contains(job) {
            self.violate("end-is-kept", format!("{key} starts after its end was acknowledged"));
        }
        self.resume(key, checkpoint);
        let starts = self.starts_from_beginning.entry(job.clone()).or_default();
        *starts += u32::from(checkpoint.is_none());
        let again = *starts > 1 || self.completions.contains_key(job);
        if self.once.contains(job) && again {
            self.violate("at-most-once", format!("{key} starts again from {checkpoint:?}"));
        }
    }

    /// Checks that a job that is not idempotent resumes at most once from each checkpoint.
    fn resume(&mut self, key: &Key, checkpoint: Option<&Name>) {
        let Some(checkpoint) = checkpoint.filter(|_| self.once.contains(&key.job)) else { return };
        if !self.resumed.insert((key.job.clone(), checkpoint.clone())) {
            self.violate("resume-once", format!("{key} resumes from {checkpoint} again"));
        }
    }

    /// Records that a task no longer runs.
    pub(crate) fn stop(&mut self, key: &Key) {
        if self.running.get(&key.job).is_some_and(|(_, running)| running == key) {
            self.running.remove(&key.job);
        }
    }

    /// Records that a task completed.
    pub(crate) fn end(&mut self, key: &Key) {
        self.stop(key);
        *self.completions.entry(key.job.clone()).or_default() += 1;
    }

    /// Records that a worker was told that it may forget a completed task.
    pub(crate) fn acknowledge(&mut self, key: &Key) {
        self.acknowledged.insert(key.job.clone());
    }

    /// Checks the resources in use at a worker against its capacity.
    pub(crate) fn load(&mut self, worker: usize, used: &Bundle, capacity: &Bundle) {
        if !capacity.holds(used) {
            self.violate("capacity", format!("worker {worker} holds {used} of {capacity}"));
        }
    }

    /// Records that a caller is told that its job is done.
    pub(crate) fn report_done(&mut self, job: &Name) {
        if !self.completions.contains_key(job) {
            self.violate(
                "done-means-done",
                format!("{job} is reported as done but never completed"),
            );
        }
    }

    /// Records an accepted job that is no longer known or does not reach a final state after the
    /// failures have ended.
    pub(crate) fn lost(&mut self, job: &Name, what: &str) {
        self.violate("nothing-lost", format!("{job} {what}"));
    }

    /// Returns the number of started tasks.
    pub(crate) fn starts(&self) -> usize {
        self.started.len()
    }

    /// Returns the violated invariants, each with details.
    pub(crate) fn violations(&self) -> &[(&'static str, String)] {
        &self.violations
    }

    fn violate(&mut self, invariant: &'static str, details: String) {
        self.violations.push((invariant, details));
    }
}
