use super::Reason;
use serde::Serialize;
use shallotflow_core::graph::Task;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;

/// The tasks of one step that do not run for the same reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Group {
    /// The task that has waited longest.
    pub task: Task,
    /// The rule that holds the tasks.
    pub reason: Reason,
    /// Number of tasks.
    pub tasks: u32,
    /// Since when that task could have been running; for a run that is not listed, since its last list.
    pub since: Time,
    /// When the rule lets that task go at the latest; `None` if the rule sets no time.
    pub until: Option<Time>,
    /// Agents that are waited for, or whose workers have room but get nothing; some of them if they
    /// are many.
    pub agents: Vec<Name>,
    /// Number of such agents.
    pub agent_count: usize,
}

impl Group {
    /// Maximum number of agents that a group names.
    pub const MAX_AGENTS: usize = 4;
}
