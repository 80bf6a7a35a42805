use super::{Change, Group, Reason};
use crate::plan::event::milliseconds;
use serde::Serialize;
use shallotflow_core::graph::Task;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;

/// A log line on the tasks of a step that do not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Line {
    /// What has changed since the last line on the step.
    pub event: Change,
    /// The task that has waited longest.
    pub task: Task,
    /// The rule that holds it; of a wait that has ended, the last one.
    pub reason: Reason,
    /// Number of tasks of the step that this rule holds.
    pub tasks: u32,
    /// Number of tasks of the step that other rules hold.
    pub others: u32,
    /// Time for which the task could have been running, milliseconds.
    pub waited_ms: u64,
    /// Time since the reason was first reported, milliseconds.
    pub reason_ms: u64,
    /// Time until the rule lets the task go at the latest, milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub remaining_ms: Option<u64>,
    /// Some of the agents that the rule concerns.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub agents: Vec<Name>,
    /// Number of such agents.
    pub agent_count: usize,
}

impl Line {
    /// Describes a group that has been reported with its reason since `reason_since`, beside `others`
    /// other tasks of its step.
    pub(super) fn new(
        event: Change,
        group: &Group,
        others: u32,
        reason_since: Time,
        now: Time,
    ) -> Self {
        Self {
            event,
            task: group.task,
            reason: group.reason,
            tasks: group.tasks,
            others,
            waited_ms: milliseconds(now.since(group.since)),
            reason_ms: milliseconds(now.since(reason_since)),
            remaining_ms: group.until.map(|until| milliseconds(until.remaining(now))),
            agents: group.agents.clone(),
            agent_count: group.agent_count,
        }
    }
}
