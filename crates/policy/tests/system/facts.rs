//! What really happened, as the fake workers saw it.
//!
//! The scheduler never writes here. Each check is one promise.

use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::task::Key;
use std::collections::{BTreeMap, BTreeSet};

/// The facts of one run.
#[derive(Debug, Default)]
pub(crate) struct Facts {
    /// Jobs that may run once at most.
    pub(crate) once: BTreeSet<Name>,
    /// Jobs that callers were told are recorded.
    pub(crate) accepted: BTreeSet<Name>,
    /// Jobs that callers were told are cancelled before they ran.
    pub(crate) cancelled: BTreeSet<Name>,
    running: BTreeMap<Name, (usize, Key)>,
    started: BTreeSet<Key>,
    fresh_starts: BTreeMap<Name, u32>,
    resumed: BTreeSet<(Name, Name)>,
    ends: BTreeMap<Name, u32>,
    acknowledged: BTreeSet<Name>,
    broken: Vec<(&'static str, String)>,
}

impl Facts {
    /// A worker starts a task.
    pub(crate) fn start(&mut self, worker: usize, key: &Key, checkpoint: Option<&Name>) {
        let job = &key.job;
        if let Some((other, running)) = self.running.insert(job.clone(), (worker, key.clone())) {
            self.broken("one-worker-at-a-time", format!("{key} starts while {running} on {other}"));
        }
        if !self.started.insert(key.clone()) {
            self.broken("resume-once", format!("{key} starts twice"));
        }
        if self.cancelled.contains(job) {
            self.broken("cancelled-never-starts", format!("{key} starts after it was cancelled"));
        }
        if self.acknowledged.contains(job) {
            self.broken("end-is-kept", format!("{key} starts after its end was acknowledged"));
        }
        self.resume(key, checkpoint);
        let fresh = self.fresh_starts.entry(job.clone()).or_default();
        *fresh += u32::from(checkpoint.is_none());
        let again = *fresh > 1 || self.ends.contains_key(job);
        if self.once.contains(job) && again {
            self.broken("at-most-once", format!("{key} starts again from {checkpoint:?}"));
        }
    }

    /// A job that may run once resumes from each checkpoint once at most.
    fn resume(&mut self, key: &Key, checkpoint: Option<&Name>) {
        let Some(checkpoint) = checkpoint.filter(|_| self.once.contains(&key.job)) else { return };
        if !self.resumed.insert((key.job.clone(), checkpoint.clone())) {
            self.broken("resume-once", format!("{key} resumes from {checkpoint} again"));
        }
    }

    /// A task runs no more.
    pub(crate) fn stop(&mut self, key: &Key) {
        if self.running.get(&key.job).is_some_and(|(_, running)| running == key) {
            self.running.remove(&key.job);
        }
    }

    /// A task ran to its end.
    pub(crate) fn end(&mut self, key: &Key) {
        self.stop(key);
        *self.ends.entry(key.job.clone()).or_default() += 1;
    }

    /// A worker was told that it may forget a task that ran to its end.
    pub(crate) fn acknowledge(&mut self, key: &Key) {
        self.acknowledged.insert(key.job.clone());
    }

    /// A worker holds `used` of `capacity`.
    pub(crate) fn load(&mut self, worker: usize, used: &Bundle, capacity: &Bundle) {
        if !capacity.holds(used) {
            self.broken("capacity", format!("worker {worker} holds {used} of {capacity}"));
        }
    }

    /// A caller is told that its job is done.
    pub(crate) fn told_done(&mut self, job: &Name) {
        if !self.ends.contains_key(job) {
            self.broken("done-means-done", format!("{job} is said to be done and never ended"));
        }
    }

    /// An accepted job is not known any more, or reaches no last state once failures end.
    pub(crate) fn lost(&mut self, job: &Name, what: &str) {
        self.broken("nothing-lost", format!("{job} {what}"));
    }

    /// How many tasks were started.
    pub(crate) fn starts(&self) -> usize {
        self.started.len()
    }

    /// The broken promises, each with what was seen.
    pub(crate) fn violations(&self) -> &[(&'static str, String)] {
        &self.broken
    }

    fn broken(&mut self, promise: &'static str, seen: String) {
        self.broken.push((promise, seen));
    }
}
