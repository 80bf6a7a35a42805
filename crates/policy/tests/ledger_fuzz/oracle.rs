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
    /// Checkpoints of evictions, with the run that resumed from each and has not ended otherwise.
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
                assert!(fresh, "{id} resumes twice from {checkpoint}");
            }
            None => facts.starts += 1,
        }
        let repeated = facts.starts > 1 && !record.spec.idempotent;
        assert!(!repeated, "{id} starts twice though it is not idempotent");
    }

    /// A run ends early; what it resumed from may be resumed from again.
    pub(crate) fn interrupt(&mut self, id: &Name, resumed_from: Option<&Name>) {
        let facts = self.jobs.entry(id.clone()).or_default();
        facts.running_on = None;
        if let Some(checkpoint) = resumed_from {
            facts.resumed.remove(checkpoint);
        }
    }

    /// A run is evicted with a checkpoint of its own; what it resumed from is used up.
    pub(crate) fn evict(&mut self, id: &Name) {
        self.jobs.entry(id.clone()).or_default().running_on = None;
    }

    /// A run fails.
    pub(crate) fn fail(&mut self, id: &Name, resumed_from: Option<&Name>, settings: &Settings) {
        self.interrupt(id, resumed_from);
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

    /// The end of a run is lost with its worker or agent before anyone heard of it.
    pub(crate) fn forget_end(&mut self, id: &Name, resumed_from: Option<&Name>) {
        if let Some(checkpoint) = resumed_from {
            self.jobs.entry(id.clone()).or_default().resumed.remove(checkpoint);
        }
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

    /// Whether a caller was told of the job's end.
    pub(crate) fn has_end(&self, id: &Name) -> bool {
        self.jobs.get(id).is_some_and(|facts| facts.answered.is_some())
    }
}
