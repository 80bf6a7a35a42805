//! The board that all stand-ins of a test write to.

use super::Violations;
use foldhash::{HashMap, HashSet};
use serde::Serialize;
use shallotflow_core::name::Name;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Most violations whose details are kept.
const MAX_NOTES: usize = 100;

/// Facts shared by the stand-ins of a test; clones share them, across threads.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    record: Arc<Mutex<Record>>,
}

impl Audit {
    /// The facts, locked.
    pub fn record(&self) -> MutexGuard<'_, Record> {
        // A thread that panicked leaves counts that are still true.
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What really happened.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Record {
    /// Broken promises.
    pub violations: Violations,
    /// The first broken promises in words.
    pub notes: Vec<String>,
    /// Batch tasks started.
    pub starts: u64,
    /// Batch tasks that ended well.
    pub completions: u64,
    /// Jobs that ended well more than once; allowed only for idempotent ones.
    pub duplicates: u64,
    /// Batch tasks that were checkpointed and stopped to make room.
    pub evictions: u64,
    /// Batch tasks that their worker stopped because the lease passed.
    pub lapses: u64,
    /// Requests that targets ran.
    pub requests: u64,
    #[serde(skip)]
    running: HashMap<Name, u32>,
    #[serde(skip)]
    finished: HashSet<Name>,
    #[serde(skip)]
    begun: HashSet<Name>,
    #[serde(skip)]
    resumed: HashSet<String>,
    #[serde(skip)]
    answered: HashSet<Name>,
}

impl Record {
    /// A task of `job` starts on `worker`, from `checkpoint` if that is not empty.
    pub fn start(&mut self, worker: &str, job: &Name, idempotent: bool, checkpoint: &str) {
        self.starts += 1;
        let running = self.running.entry(job.clone()).or_default();
        *running += 1;
        if *running > 1 {
            self.violations.job_ran_twice_at_once += 1;
            self.note(format!("job {job} runs more than once at a time, now on {worker}"));
        }
        if checkpoint.is_empty() {
            let again = !self.begun.insert(job.clone());
            if again && !idempotent {
                self.violations.ran_more_than_once += 1;
                self.note(format!("non-idempotent job {job} began again on {worker}"));
            }
        } else if !self.resumed.insert(checkpoint.to_owned()) && !idempotent {
            self.violations.resumed_twice += 1;
            self.note(format!("job {job} resumed again from {checkpoint} on {worker}"));
        }
    }

    /// A task of `job` does not run any more.
    pub fn end(&mut self, job: &Name) {
        let Some(running) = self.running.get_mut(job) else { return };
        *running -= 1;
        if *running == 0 {
            self.running.remove(job);
        }
    }

    /// A task of `job` ended well.
    pub fn complete(&mut self, job: &Name) {
        self.completions += 1;
        if !self.finished.insert(job.clone()) {
            self.duplicates += 1;
        }
    }

    /// A target runs the request `id`.
    pub fn request(&mut self, worker: &str, id: Option<&Name>, idempotent: bool) {
        self.requests += 1;
        let Some(id) = id else { return };
        let again = !self.answered.insert(id.clone());
        if again && !idempotent {
            self.violations.ran_more_than_once += 1;
            self.note(format!("non-idempotent request {id} ran again on {worker}"));
        }
    }

    /// Whether a target ran the request `id`.
    pub fn has_run(&self, id: &Name) -> bool {
        self.answered.contains(id)
    }

    /// Whether a task of `job` has started from the beginning.
    pub fn has_started(&self, job: &str) -> bool {
        self.begun.contains(job)
    }

    /// Keeps the details of a violation, if there is room.
    pub fn note(&mut self, note: String) {
        if self.notes.len() < MAX_NOTES {
            self.notes.push(note);
        }
    }

    /// How many tasks of `job` run now.
    pub fn running(&self, job: &str) -> u32 {
        self.running.get(job).copied().unwrap_or_default()
    }
}
