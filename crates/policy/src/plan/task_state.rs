use shallotflow_core::name::Name;
use shallotflow_core::time::Time;

/// Where a task is on its way.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// A predecessor may have started it at a worker that has not reported yet.
    Uncertain,
    /// It does not run.
    #[default]
    Waiting,
    /// Its start was ordered.
    Starting {
        /// The agent of the worker.
        agent: Name,
        /// The number of the run.
        run: u32,
        /// When the start is withdrawn unless answered.
        withdraw_at: Time,
    },
    /// It runs.
    Running {
        /// The agent of the worker.
        agent: Name,
        /// The number of the run.
        run: u32,
    },
    /// Its run must end before anything else happens.
    Stopping {
        /// The agent of the worker.
        agent: Name,
        /// The number of the run.
        run: u32,
    },
    /// Its work is done.
    Done,
}

/// A task in the owner's table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TaskState {
    /// Where it is on its way.
    pub phase: Phase,
    /// The number of the last run that was ordered or seen.
    pub last_run: u32,
    /// The runs that failed.
    pub failed: Vec<u32>,
    /// The agent where it failed last.
    pub failed_at: Option<Name>,
    /// The newest checkpoint.
    pub checkpoint: Option<Name>,
    /// When it may be tried again.
    pub retry_at: Time,
    /// Tries that did not lead to work, since the last that did.
    pub misses: u32,
    /// How much of the work of the current run is done, percent.
    pub percent: u8,
    /// When the current run is given up unless it makes progress.
    pub stalls_at: Time,
    /// Since when the task could have been running.
    pub ready_since: Time,
}

impl TaskState {
    /// The agent and the number of the current run, if there may be one.
    pub fn current(&self) -> Option<(&Name, u32)> {
        match &self.phase {
            Phase::Starting { agent, run, .. }
            | Phase::Running { agent, run }
            | Phase::Stopping { agent, run } => Some((agent, *run)),
            Phase::Uncertain | Phase::Waiting | Phase::Done => None,
        }
    }

    /// Whether the current run is `run` at `agent`.
    pub fn is_current(&self, agent: &str, run: u32) -> bool {
        self.current().is_some_and(|(own, number)| &**own == agent && number == run)
    }
}
