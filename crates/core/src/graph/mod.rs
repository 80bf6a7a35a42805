//! Batch work as graphs: jobs of steps, steps of tasks, tasks of runs.
//!
//! - [`Id`]: the caller's identifier of a job.
//! - [`Task`]: one task of a job, by its place in the graph.
//! - [`Step`]: tasks that are alike and the steps that must end before them.
//! - [`Spec`]: what a caller hands in.
//! - [`Job`]: a spec that was accepted, with its queue.
//! - [`Queue`]: how the jobs of a queue are run.
//! - [`State`]: what callers are shown.

mod id;
mod job;
mod queue;
mod spec;
mod state;
mod step;
mod task;

pub use id::Id;
pub use job::Job;
pub use queue::Queue;
pub use spec::Spec;
pub use state::State;
pub use step::Step;
pub use task::Task;

/// Why a graph or an identifier is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The identifier does not have the agreed form.
    #[error("job id {0:?} is not 16 hexadecimal digits; choose one of that form")]
    Id(String),
    /// The text that workers get is too long.
    #[error("the specification has {bytes} bytes, {limit} are allowed; shorten it")]
    TextTooLong {
        /// Bytes of the text.
        bytes: usize,
        /// Bytes allowed.
        limit: usize,
    },
    /// There is nothing to run.
    #[error("the job has no steps; give at least one")]
    NoSteps,
    /// A step has no tasks.
    #[error("step {0} has no tasks; set its count to 1 or more")]
    NoTasks(usize),
    /// The job has more tasks than one job may have.
    #[error("the job has {tasks} tasks, {limit} are allowed; split it")]
    TooManyTasks {
        /// Tasks of all steps and repetitions.
        tasks: u64,
        /// Tasks allowed.
        limit: u64,
    },
    /// A step waits for a step that does not come before it.
    #[error("step {step} waits for step {after}; name earlier steps only")]
    Order {
        /// The waiting step.
        step: usize,
        /// The step that it names.
        after: u16,
    },
}

/// The result of reading or checking a graph.
pub type Result<T> = std::result::Result<T, Error>;
