//! The oracle: records what fake workers and callers observe, and checks the invariants.

use shallotflow_core::job::{Record, State};
use shallotflow_core::name::Name;
use shallotflow_policy::ledger::Settings;
use std::collections::{BTreeMap, BTreeSet};

/// The observed history of one job.
#[derive(Debug, Default)]
struct History {
    /// The worker that currently runs it.
    running_on: Option<Name>,
    /// Number of starts from the beginning.
    starts: u32,
    /// Checkpoints from which a run has resumed.
    resumed_from: BTreeSet<Name>,
    /// Whether a run completed.
    done: bool,
    /// Number of failed runs.
    failures: u32,
    /// The final state that was returned to a caller.
    final_answer: Option<State>,
    /// Whether a caller was told that its submission was not run.
    refused: bool,
}

/// The histories of all jobs.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    jobs: BTreeMap<Name, History>,
}

impl Oracle {
    /// Records that a worker starts a job.
    pub(crate) fn start(&mut self, record: &Record, worker: &Name) {
        let history = self.jobs.entry(record.id.clone()).or_default();
        let id = &record.id;
        assert_eq!(history.running_on, None, "{id} runs on two workers at once");
        assert_eq!(history.final_answer, None, "{id} starts after a caller was told of its end");
        assert!(!history.refused, "{id} starts though its caller was told that it was not run");
        history.running_on = Some(worker.clone());
        match &record.checkpoint {
            Some(checkpoint) => {
                let fresh = history.resumed_from.insert(checkpoint.clone());
                let allowed = fresh || record.spec.idempotent;
                assert!(allowed, "{id} resumes twice from {checkpoint}");
            }
            None => history.starts += 1,
        }
        let repeated = history.starts > 1 && !record.spec.idempotent;
        assert!(!repeated, "{id} starts twice though it is not idempotent");
    }

    /// Records that a run stops before it completes.
    pub(crate) fn interrupt(&mut self, id: &Name) {
        self.jobs.entry(id.clone()).or_default().running_on = None;
    }

    /// Records that a run fails.
    pub(crate) fn fail(&mut self, id: &Name, settings: &Settings) {
        self.interrupt(id);
        let history = self.jobs.entry(id.clone()).or_default();
        history.failures += 1;
        assert!(history.failures <= settings.failures_max, "{id} fails without bound");
    }

    /// Records that a run completes.
    pub(crate) fn finish(&mut self, id: &Name) {
        let history = self.jobs.entry(id.clone()).or_default();
        history.running_on = None;
        history.done = true;
    }

    /// Records that a caller submits a job.
    pub(crate) fn submit(&mut self, id: &Name) {
        self.jobs.entry(id.clone()).or_default().refused = false;
    }

    /// Records that a caller is told that its submission was not run.
    pub(crate) fn refuse(&mut self, id: &Name) {
        self.jobs.entry(id.clone()).or_default().refused = true;
    }

    /// Records that a caller reads a record.
    pub(crate) fn answer(&mut self, record: &Record) {
        let history = self.jobs.entry(record.id.clone()).or_default();
        if let Some(before) = &history.final_answer {
            assert_eq!(*before, record.state, "{} changes after its end", record.id);
        }
        if record.state.is_final() {
            history.final_answer = Some(record.state.clone());
        }
        let done = record.state == State::Done;
        assert!(!done || history.done, "{} is done though no run completed", record.id);
    }

    /// Whether a caller was told that its submission was not run.
    pub(crate) fn is_refused(&self, id: &Name) -> bool {
        self.jobs.get(id).is_some_and(|history| history.refused)
    }

    /// Whether a caller was told that the job ended or that it was not run.
    pub(crate) fn is_settled(&self, id: &Name) -> bool {
        self.jobs.get(id).is_some_and(|history| history.refused || history.final_answer.is_some())
    }
}
