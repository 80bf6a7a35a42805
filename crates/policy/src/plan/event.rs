use super::Delay;
use super::message::{ExitReason, Outcome};
use serde::Serialize;
use shallotflow_core::graph::{Id, State, Task};
use shallotflow_core::name::Name;
use std::time::Duration;

/// A decision or an observation of the owner, for the log.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "event")]
pub enum Event {
    /// A start was ordered.
    Start {
        /// The task.
        task: Task,
        /// Run number.
        run: u32,
        /// The agent.
        agent: Name,
        /// Queue of the job.
        queue: Name,
        /// Time since the task became ready, milliseconds.
        waited_ms: u64,
        /// Age of the agent's last report, milliseconds.
        report_age_ms: u64,
        /// Expected processor use of the worker including the task, as a share of its capacity.
        pressure: f64,
        /// Whether the worker is in the rack of the data and of the other tasks of the step; absent if
        /// the step asks for neither.
        #[serde(skip_serializing_if = "Option::is_none")]
        near: Option<bool>,
        /// Time that the task waited for a slot in that rack although it could start elsewhere,
        /// milliseconds.
        near_wait_ms: u64,
    },
    /// A task, or a gang, of a job that starved starts, whatever the order and the limits for
    /// best-effort tasks say.
    Starved {
        /// The job.
        job: Id,
        /// How long nothing of it has run although the turn of a task had come, milliseconds.
        idle_ms: u64,
    },
    /// A task that could start elsewhere begins to wait for a slot in the rack of its data or of the
    /// other tasks of its step.
    NearWait {
        /// The task.
        task: Task,
        /// The rack.
        rack: Name,
        /// Expected time until a slot is free, milliseconds.
        expected_ms: u64,
        /// Longest time that the task waits, milliseconds.
        limit_ms: u64,
        /// Requests of the tasks that wait for the rack already, thousandths of a processor.
        ahead_millicores: u64,
    },
    /// A stop was ordered.
    Stop {
        /// The task.
        task: Task,
        /// Run number.
        run: u32,
        /// The agent.
        agent: Name,
        /// Cause.
        reason: &'static str,
    },
    /// An agent answered an order.
    Answer {
        /// The task.
        task: Task,
        /// Run number.
        run: u32,
        /// The agent.
        agent: Name,
        /// The outcome of the order.
        outcome: Outcome,
    },
    /// A run has ended.
    End {
        /// The task.
        task: Task,
        /// Run number.
        run: u32,
        /// The agent.
        agent: Name,
        /// Why it ended.
        #[serde(rename = "how")]
        reason: ExitReason,
    },
    /// A run that a predecessor started was found at a worker and adopted.
    Adopted {
        /// The task.
        task: Task,
        /// Run number.
        run: u32,
        /// The agent.
        agent: Name,
    },
    /// The runs of a worker have ended because the worker restarted or its lease ended.
    Lost {
        /// The agent.
        agent: Name,
        /// Cause.
        reason: &'static str,
        /// Number of runs.
        runs: usize,
        /// Whether the worker has crashed.
        crash: bool,
    },
    /// A run may have crashed its worker.
    Suspect {
        /// The task.
        task: Task,
        /// Run number.
        run: u32,
        /// The agent.
        agent: Name,
        /// Time since the start was ordered, milliseconds; if only the agent saw the crash, how long
        /// the worker was known to live after the start.
        age_ms: u64,
        /// Whether the run cannot have ended before the crash.
        certain: bool,
        /// Whether nothing else could have crashed the worker.
        alone: bool,
        /// Whether it was among the last starts before the crash, or is suspected again.
        likely: bool,
        /// Number of the runs of the task, or of its gang, that may have crashed their workers.
        suspicions: usize,
        /// Number of the runs of the task, or of its gang, under which a worker crashed.
        crashes: usize,
    },
    /// A task is given up because it crashes workers.
    GivenUp {
        /// The task.
        task: Task,
        /// Number of the runs of the task, or of its gang, under which a worker crashed.
        crashes: usize,
        /// Number of those that may have crashed the worker.
        suspicions: usize,
    },
    /// A worker is ejected: it gets no tasks for a while.
    #[serde(rename = "aside")]
    Ejected {
        /// The agent.
        agent: Name,
        /// Jobs with failed runs since the worker last completed one.
        failures: u32,
        /// Length of the ejection, milliseconds.
        pause_ms: u64,
    },
    /// A job may begin.
    Opened {
        /// The job.
        job: Id,
        /// Its queue.
        queue: Name,
        /// Cause.
        reason: &'static str,
        /// Time since the owner received the job, milliseconds.
        waited_ms: u64,
        /// Work in begun jobs that precedes it, processor-milliseconds.
        preceding: u64,
        /// Rate of useful work, thousandths of a processor.
        rate: f64,
        /// Expected time of its longest chain of steps, milliseconds.
        remaining_ms: u64,
        /// Time from its receipt in which it has to end, milliseconds.
        objective_ms: u64,
    },
    /// A job waits, because it is not expected to end within its objective.
    Postponed {
        /// The job.
        job: Id,
        /// Its queue.
        queue: Name,
        /// Time since the owner received the job, milliseconds.
        waited_ms: u64,
        /// Work in begun jobs that precedes it, processor-milliseconds.
        preceding: u64,
        /// Rate of useful work, thousandths of a processor.
        rate: f64,
        /// Expected time of its longest chain of steps, milliseconds.
        remaining_ms: u64,
        /// Time from its receipt in which it has to end, milliseconds.
        objective_ms: u64,
    },
    /// A job has changed its state.
    Job {
        /// The job.
        job: Id,
        /// The state.
        state: State,
        /// Cause.
        reason: &'static str,
    },
    /// A job with an objective has ended other than by its caller.
    Ended {
        /// The job.
        job: Id,
        /// Its queue.
        queue: Name,
        /// Whether it failed, or took longer than its objective by the estimates of its tasks.
        late: bool,
        /// Time since the owner received the job, milliseconds.
        took_ms: u64,
        /// Time in which it had to end, milliseconds.
        objective_ms: u64,
        /// Work of its tasks by their estimates, processor-milliseconds.
        work: u64,
        /// Time from the end of half of the tasks of each step on the chain to that of its last,
        /// milliseconds.
        last_task_ms: u64,
        /// Where the time went.
        delay: Delay,
    },
    /// A stored job violates the rules for jobs and is left out.
    Invalid {
        /// The job.
        job: Id,
        /// The first violation.
        reason: String,
    },
    /// A failure domain is evacuated: nothing starts at its workers.
    Evacuated {
        /// The failure domain.
        domain: Name,
        /// Revision of the request in the store; 0 if the configuration evacuates the domain.
        revision: i64,
        /// Number of its known workers; later ones are evacuated as well.
        workers: usize,
        /// Number of runs at these workers, which go on unless they have not started yet.
        runs: usize,
    },
    /// The workers of a failure domain may get tasks again.
    Readmitted {
        /// The failure domain.
        domain: Name,
        /// Number of its known workers.
        workers: usize,
    },
    /// Tasks that a predecessor may have started are now known not to run.
    #[serde(rename = "certain")]
    Settled {
        /// Number of tasks.
        tasks: usize,
        /// Number of agents that did not report before their leases ended.
        missing: usize,
    },
}

/// Returns a span as events give it, whole milliseconds.
pub(super) fn milliseconds(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
