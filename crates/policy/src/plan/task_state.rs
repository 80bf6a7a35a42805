use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::time::Duration;

/// Lifecycle phase of a task.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// A predecessor may have started it at a worker whose agent has not reported yet.
    Uncertain,
    /// It does not run.
    #[default]
    Waiting,
    /// Its start was ordered.
    Starting {
        /// Agent of the worker.
        agent: Name,
        /// Run number.
        run: u32,
        /// When the start is withdrawn unless it is answered.
        withdraw_at: Time,
    },
    /// It runs.
    Running {
        /// Agent of the worker.
        agent: Name,
        /// Run number.
        run: u32,
    },
    /// A stop was ordered; the run must end before the task can continue.
    Stopping {
        /// Agent of the worker.
        agent: Name,
        /// Run number.
        run: u32,
    },
    /// Its work is complete.
    Done,
}

impl Phase {
    /// Returns whether the task runs, and no stop was ordered.
    pub(super) fn is_running(&self) -> bool {
        matches!(self, Self::Running { .. })
    }
}

/// State of a task in the owner's table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TaskState {
    /// Current phase.
    pub phase: Phase,
    /// Highest run number that was ordered or reported.
    pub last_run: u32,
    /// Number of the last run whose start was withdrawn before its agent received the order.
    pub withdrawn: Option<u32>,
    /// Numbers of failed runs.
    pub failed: Vec<u32>,
    /// Numbers of the runs under which a worker crashed; of a long-running task, since a run of it
    /// has outlived its start.
    pub crashed: Vec<u32>,
    /// Numbers of those that may have crashed the worker, since a run has outlived its start.
    pub suspected: Vec<u32>,
    /// Numbers of those that cannot have ended before the crash.
    pub certain: Vec<u32>,
    /// Version of the job that has to be recorded before the next start.
    pub crash_version: u64,
    /// Until when it starts only at a worker where it is alone, if it is suspected.
    pub alone_until: Time,
    /// Whether it was a likely cause of the latest crash among its suspects.
    pub likely: bool,
    /// When the start of the current run was ordered, or the run was adopted.
    pub begun: Time,
    /// Time that earlier runs have used, which ended without completing the work.
    pub earlier_runs: Duration,
    /// When its work was found to be complete.
    pub done_at: Time,
    /// Agent at which the task failed last, or was slowed down and stopped for that.
    pub avoided: Option<Name>,
    /// Whether the start that is being withdrawn had no answer, or one that did not settle it.
    pub unanswered: bool,
    /// Agent whose worker refused or did not answer the latest start, since a start last succeeded.
    pub refused_by: Option<Name>,
    /// Newest checkpoint.
    pub checkpoint: Option<Name>,
    /// Earliest time of the next start.
    pub retry_at: Time,
    /// Unsuccessful tries since a start last succeeded.
    pub misses: u32,
    /// Completed work of the current run, percent.
    pub percent: u8,
    /// When the current run is stopped unless it makes progress.
    pub stalls_at: Time,
    /// Since when its agent has slowed the current run down below the slow pace of the settings.
    pub slowed_since: Option<Time>,
    /// When a stop of the current run was ordered.
    pub stopped_at: Option<Time>,
    /// When that stop is ordered again unless it has had a result.
    pub stop_due: Time,
    /// Time that the current run has been at work, at full pace.
    pub worked: Duration,
    /// Until when `worked` is counted.
    pub worked_until: Time,
    /// Whether the current run began before this owner started it, or resumed from a checkpoint.
    pub resumed: bool,
    /// How often a run was stopped to go on at another worker.
    pub relocations: u8,
    /// Since when the task could have been running.
    pub ready_since: Time,
    /// Since when the task could have been running and was not seen to run, whatever starts have failed
    /// since; `None` while it runs.
    pub idle_since: Option<Time>,
    /// Since when the task has waited for a slot in its rack although it could start elsewhere.
    pub near_wait_since: Option<Time>,
}

impl TaskState {
    /// Returns the agent and the number of the current run, if there may be one.
    pub fn current(&self) -> Option<(&Name, u32)> {
        match &self.phase {
            Phase::Starting { agent, run, .. }
            | Phase::Running { agent, run }
            | Phase::Stopping { agent, run } => Some((agent, *run)),
            Phase::Uncertain | Phase::Waiting | Phase::Done => None,
        }
    }

    /// Returns since when the task could have been running, whatever starts have failed since.
    pub(super) fn waits_since(&self) -> Time {
        self.idle_since.unwrap_or(self.ready_since)
    }

    /// Returns whether the next start has to be at a worker where nothing else starts.
    pub(super) fn must_start_alone(&self, now: Time) -> bool {
        !self.suspected.is_empty() && !self.alone_until.passed(now)
    }

    /// Returns whether the current run is `run` at `agent`.
    pub fn is_current(&self, agent: &str, run: u32) -> bool {
        self.current().is_some_and(|(current, number)| &**current == agent && number == run)
    }
}
