//! The audit record that all stand-ins of a test write to.

use super::Violations;
use foldhash::{HashMap, HashSet};
use serde::Serialize;
use shallotflow_core::name::Name;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Maximum number of violations whose details are kept.
const MAX_NOTES: usize = 100;

/// A handle to the record that the stand-ins of a test share; clones share it, across threads.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    record: Arc<Mutex<Record>>,
}

impl Audit {
    /// Locks the record.
    pub fn record(&self) -> MutexGuard<'_, Record> {
        // The counts are still valid after a thread panicked with the lock held.
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What the stand-ins actually ran, as opposed to what the scheduler reports.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Record {
    /// Violated guarantees.
    pub violations: Violations,
    /// Descriptions of the first violations.
    pub notes: Vec<String>,
    /// Number of batch tasks started.
    pub starts: u64,
    /// Number of batch tasks that completed successfully.
    pub completions: u64,
    /// Number of repeated completions of a job; allowed only for idempotent jobs.
    pub duplicates: u64,
    /// Number of batch tasks that were checkpointed and stopped to free resources.
    pub evictions: u64,
    /// Number of batch tasks that their worker stopped because the lease expired.
    pub lapses: u64,
    /// Number of requests that targets ran.
    pub requests: u64,
    #[serde(skip)]
    running: HashMap<Name, u32>,
    #[serde(skip)]
    completed: HashSet<Name>,
    #[serde(skip)]
    started: HashSet<Name>,
    #[serde(skip)]
    resumed_checkpoints: HashSet<String>,
    #[serde(skip)]
    requests_run: HashSet<Name>,
}

impl Record {
    /// Records that a task of `job` starts on `worker`, from `checkpoint` unless it is empty.
    pub fn record_start(&mut self, worker: &str, job: &Name, idempotent: bool, checkpoint: &str) {
        self.starts += 1;
        let running = self.running.entry(job.clone()).or_default();
        *running += 1;
        if *running > 1 {
            self.violations.job_ran_twice_at_once += 1;
            self.add_note(format!("job {job} runs more than once at a time, now on {worker}"));
        }
        if checkpoint.is_empty() {
            let repeated = !self.started.insert(job.clone());
            if repeated && !idempotent {
                self.violations.ran_more_than_once += 1;
                self.add_note(format!("non-idempotent job {job} started again on {worker}"));
            }
        } else if !self.resumed_checkpoints.insert(checkpoint.to_owned()) && !idempotent {
            self.violations.resumed_twice += 1;
            self.add_note(format!("job {job} resumed again from {checkpoint} on {worker}"));
        }
    }

    /// Records that a task of `job` has stopped running.
    pub fn record_end(&mut self, job: &Name) {
        let Some(running) = self.running.get_mut(job) else { return };
        *running -= 1;
        if *running == 0 {
            self.running.remove(job);
        }
    }

    /// Records that a task of `job` completed successfully.
    pub fn record_completion(&mut self, job: &Name) {
        self.completions += 1;
        if !self.completed.insert(job.clone()) {
            self.duplicates += 1;
        }
    }

    /// Records that the target of `worker` runs the request `id`.
    pub fn record_request(&mut self, worker: &str, id: Option<&Name>, idempotent: bool) {
        self.requests += 1;
        let Some(id) = id else { return };
        let repeated = !self.requests_run.insert(id.clone());
        if repeated && !idempotent {
            self.violations.ran_more_than_once += 1;
            self.add_note(format!("non-idempotent request {id} ran again on {worker}"));
        }
    }

    /// Whether a target has run the request `id`.
    pub fn has_run(&self, id: &Name) -> bool {
        self.requests_run.contains(id)
    }

    /// Whether a task of `job` has started without a checkpoint.
    pub fn has_started(&self, job: &str) -> bool {
        self.started.contains(job)
    }

    /// Keeps the description of a violation, up to a fixed number of them.
    pub fn add_note(&mut self, note: String) {
        if self.notes.len() < MAX_NOTES {
            self.notes.push(note);
        }
    }

    /// The number of tasks of `job` that are running.
    pub fn running(&self, job: &str) -> u32 {
        self.running.get(job).copied().unwrap_or_default()
    }
}
