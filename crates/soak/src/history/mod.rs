//! The responses that callers received and the runs at the workers.
//!
//! - [`Job`]: a job from the view of its caller.
//! - [`Run`]: one run of a task at a worker.
//! - [`Evacuation`]: an evacuation of a failure domain.
//! - [`History`]: all jobs and runs.

mod evacuation;
mod job;
mod log;
mod run;

pub use evacuation::Evacuation;
pub use job::Job;
pub use log::History;
pub use run::Run;
