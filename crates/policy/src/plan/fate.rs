use super::Phase;
use super::message::{Report, Status};
use shallotflow_core::graph::Task;
use std::collections::BTreeSet;

/// What is known of a run whose worker has restarted, is gone, or holds no lease any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    /// The worker's present incarnation runs it.
    Active,
    /// A call that is still on its way may start it.
    Unknown,
    /// It has ended or never starts, so its task may start again.
    Over,
}

/// What an agent says of the runs at its worker, from which the owner concludes the fate of each.
///
/// An incarnation holds nothing of a former one, but carries out the calls that were meant for it: a start
/// that got no answer, or one that was answered by an incarnation whose lists nobody has read.
#[derive(Clone, Debug)]
pub(super) struct Evidence {
    listed: BTreeSet<(Task, u32)>,
    open_starts: BTreeSet<(Task, u32)>,
    /// Whether orders that the agent has received may still reach the worker.
    pub(super) may_still_start: bool,
    /// Whether the agent knows all starts that it may have sent to the worker.
    knows_starts: bool,
}

impl Evidence {
    /// Creates the evidence of a lease that has ended without a word of the agent: nothing runs any more.
    pub(super) fn of_ended_lease() -> Self {
        Self {
            listed: BTreeSet::new(),
            open_starts: BTreeSet::new(),
            may_still_start: false,
            knows_starts: true,
        }
    }

    /// Collects what `report` says.
    pub(super) fn of(report: &Report) -> Self {
        let status = report.worker.as_ref().map(|profile| profile.status);
        // The agent of a worker that does not answer repeats what it last listed.
        let answers = !report.vacant && !matches!(status, Some(Status::Silent | Status::Empty));
        let part = report.additions.part.iter().flat_map(|part| &part.running);
        let listed = report.running.iter().flat_map(|running| running.iter()).chain(part);
        Self {
            listed: listed.filter(|_| answers).map(|run| (run.task, run.run)).collect(),
            open_starts: report.additions.restart.open_starts.iter().copied().collect(),
            may_still_start: false,
            knows_starts: true,
        }
    }

    /// Replaces whether the agent knows all starts that it may have sent to the worker.
    pub(super) fn with_known_starts(self, knows_starts: bool) -> Self {
        Self { knows_starts, ..self }
    }

    /// Returns the fate of the run `run` of `task`, which the owner has in `phase`.
    pub(super) fn fate(&self, task: Task, run: u32, phase: &Phase) -> Fate {
        let unsettled = matches!(phase, Phase::Starting { .. } | Phase::Stopping { .. });
        if self.listed.contains(&(task, run)) {
            Fate::Active
        } else if !self.knows_starts
            || self.open_starts.contains(&(task, run))
            || (unsettled && self.may_still_start)
        {
            Fate::Unknown
        } else {
            Fate::Over
        }
    }
}
