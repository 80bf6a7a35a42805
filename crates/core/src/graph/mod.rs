//! Batch work as graphs: a job consists of steps, a step of tasks; each attempt at a task is a run.
//!
//! - [`Id`]: the identifier that the caller assigns to a job.
//! - [`Task`]: one task of a job, identified by its position in the graph.
//! - [`Step`]: a group of identical tasks and the steps that they depend on.
//! - [`Spec`]: a job as submitted by its caller.
//! - [`Job`]: an accepted spec with its queue.
//! - [`Queue`]: the settings shared by the jobs of a queue.
//! - [`State`]: the state of a job as reported to callers.

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

/// The reason why a graph or an identifier is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The identifier is not 16 hexadecimal digits.
    #[error("job id {0:?} is not 16 hexadecimal digits; use an id of that form")]
    Id(String),
    /// The text passed to workers exceeds [`Spec::TEXT_LIMIT`].
    #[error("the specification has {bytes} bytes, the limit is {limit}; shorten it")]
    TextTooLong {
        /// Length of the text in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// A name in a step exceeds [`Spec::NAME_LIMIT`].
    #[error(
        "step {step} has an image, label or rack of {bytes} bytes, the limit is {limit}; shorten it"
    )]
    NameTooLong {
        /// The step.
        step: usize,
        /// Length of the longest name in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The job has no steps.
    #[error("the job has no steps; add at least one")]
    NoSteps,
    /// A step has no tasks.
    #[error("step {0} has no tasks; set its count to 1 or more")]
    NoTasks(usize),
    /// The job exceeds [`Spec::TASK_LIMIT`].
    #[error("the job has {tasks} tasks, the limit is {limit}; split it into several jobs")]
    TooManyTasks {
        /// Number of tasks over all steps and repetitions.
        tasks: u64,
        /// The limit on the number of tasks.
        limit: u64,
    },
    /// A step depends on itself or on a later step.
    #[error("step {step} depends on step {after}; list earlier steps only")]
    Order {
        /// The dependent step.
        step: usize,
        /// The step that it depends on.
        after: u16,
    },
}

/// The result of parsing or validating a graph.
pub type Result<T> = std::result::Result<T, Error>;
