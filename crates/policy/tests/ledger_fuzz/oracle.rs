//! Facts kept by the fake workers and callers, and the promises checked against them.

use shallotflow_core::job::{Record, State};
use shallotflow_core::name::Name;
use shallotflow_policy::ledger::Settings;
use std::collections::{BTreeMap, BTreeSet};

/// What really happened to one job.
#[derive(Debug, Default)]
struct Facts {
    /// The worker that runs it now.
    running_on: Option<Name>,
    /// Starts from the beginning.
    starts: u32,
    /// Checkpoints that a run resumed from.
    resumed: BTreeSet<Name>,
    /// Whether a run came to its end.
    done: bool,
    /// Runs that failed.
    failures: u32,
    /// The last answer that a caller got, if it was final.
    answered: Option<State>,
    /// Whether a caller was told that the submission was not run.
    refused: bool,
}

/// The facts about every job.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    jobs: BTreeMap<Name, Facts>,
}

impl Oracle {
    /// A worker starts a job.
    pub(crate) fn start(&mut self, record: &Record, worker: &Name) {
        let facts = self.jobs.entry(record.id.clone()).or_default();
        let id = &record.id;
        assert_eq!(facts.running_on, None, "{id} runs on two workers at once");
        assert_eq!(facts.answered, None, "{id} starts after its end was answered");
        assert!(!facts.refused, "{id} starts though its caller was told that it was not run");
        facts.running_on = Some(worker.clone());
        match &record.checkpoint {
            Some(checkpoint) => {
                let fresh = facts.resumed.insert(checkpoint.clone());
                let allowed = fresh || record.spec.idempotent;
                assert!(allowed, "{id} resumes twice from {checkpoint}");
            }
            None => facts.starts += 1,
        }
        let repeated = facts.starts > 1 && !record.spec.idempotent;
        assert!(!repeated, "{id} starts twice though it is not idempotent");
    }

    /// A run ends before its end.
    pub(crate) fn interrupt(&mut self, id: &Name) {
        self.jobs.entry(id.clone()).or_default().running_on = None;
    }

    /// A run fails.
    pub(crate) fn fail(&mut self, id: &Name, settings: &Settings) {
        self.interrupt(id);
        let facts = self.jobs.entry(id.clone()).or_default();
        facts.failures += 1;
        assert!(facts.failures <= settings.failures_max, "{id} fails without bound");
    }

    /// A run comes to its end.
    pub(crate) fn finish(&mut self, id: &Name) {
        let facts = self.jobs.entry(id.clone()).or_default();
        facts.running_on = None;
        facts.done = true;
    }

    /// A caller submits a job.
    pub(crate) fn submit(&mut self, id: &Name) {
        self.jobs.entry(id.clone()).or_default().refused = false;
    }

    /// A caller is told that its submission was not run.
    pub(crate) fn refuse(&mut self, id: &Name) {
        self.jobs.entry(id.clone()).or_default().refused = true;
    }

    /// A caller reads a record.
    pub(crate) fn answer(&mut self, record: &Record) {
        let facts = self.jobs.entry(record.id.clone()).or_default();
        if let Some(before) = &facts.answered {
            assert_eq!(*before, record.state, "{} changes after its end", record.id);
        }
        if record.state.is_final() {
            facts.answered = Some(record.state.clone());
        }
        let done = record.state == State::Done;
        assert!(!done || facts.done, "{} is done though no run came to its end", record.id);
    }

    /// Whether a caller was told that its submission was not run.
    pub(crate) fn is_refused(&self, id: &Name) -> bool {
        self.jobs.get(id).is_some_and(|facts| facts.refused)
    }

    /// Whether a caller was told of the job's end, or that it was not run.
    pub(crate) fn is_settled(&self, id: &Name) -> bool {
        self.jobs.get(id).is_some_and(|facts| facts.refused || facts.answered.is_some())
    }
}
