use super::message::{ExitReason, Outcome};
use serde::Serialize;
use shallotflow_core::graph::{Id, State, Task};
use shallotflow_core::name::Name;

/// What was decided or learned, for the log.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Event {
    /// A start was ordered.
    Start {
        /// The task.
        task: Task,
        /// The number of the run.
        run: u32,
        /// The agent.
        agent: Name,
        /// The queue of the job.
        queue: Name,
        /// How long the task had been ready, milliseconds.
        waited_ms: u64,
        /// How long ago the agent reported, milliseconds.
        report_age_ms: u64,
        /// Expected use of the worker's processors with the task, share.
        pressure: f64,
    },
    /// A stop was ordered.
    Stop {
        /// The task.
        task: Task,
        /// The number of the run.
        run: u32,
        /// The agent.
        agent: Name,
        /// Why.
        reason: &'static str,
    },
    /// An agent answered an order.
    Answer {
        /// The task.
        task: Task,
        /// The number of the run.
        run: u32,
        /// The agent.
        agent: Name,
        /// What became of the order.
        outcome: Outcome,
    },
    /// A run has ended.
    End {
        /// The task.
        task: Task,
        /// The number of the run.
        run: u32,
        /// The agent.
        agent: Name,
        /// How it ended.
        #[serde(rename = "how")]
        reason: ExitReason,
    },
    /// A run was found at a worker, started by a predecessor.
    Adopted {
        /// The task.
        task: Task,
        /// The number of the run.
        run: u32,
        /// The agent.
        agent: Name,
    },
    /// The runs of a worker are over, since its life or its lease has ended.
    Lost {
        /// The agent.
        agent: Name,
        /// Why.
        reason: &'static str,
        /// Runs that are over.
        runs: usize,
    },
    /// A worker gets no tasks for a while.
    #[serde(rename = "aside")]
    Ejected {
        /// The agent.
        agent: Name,
        /// Failed runs in a row.
        failures: u32,
        /// For how long, milliseconds.
        pause_ms: u64,
    },
    /// A job has reached another state.
    Job {
        /// The job.
        job: Id,
        /// The state.
        state: State,
        /// The cause.
        reason: &'static str,
    },
    /// Tasks that a predecessor may have started are known not to run.
    #[serde(rename = "certain")]
    Settled {
        /// Their number.
        tasks: usize,
        /// Agents that did not report and whose leases have ended.
        missing: usize,
    },
}
