//! The responses that callers received and the runs at the workers.
//!
//! - [`Job`]: a job from the view of its caller.
//! - [`Run`]: one run of a task at a worker.
//! - [`History`]: all jobs and runs.

mod job;
mod log;
mod run;

pub use job::Job;
pub use log::History;
pub use run::Run;
