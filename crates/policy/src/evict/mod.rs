//! Throttling and eviction of batch work in favor of quick work.
//!
//! There are two kinds of pressure. If quick work runs slower than it would alone, it lacks CPU
//! time: batch work is throttled in steps, and evicted only if the last step does not help. If
//! quick work waits for resources, batch tasks are checkpointed and evicted, least unsaved work
//! first. Both reactions have hysteresis, and evictions are rate-limited.

mod candidate;
mod command;
mod controller;
mod pressure;
mod settings;

pub use candidate::Candidate;
pub use command::Command;
pub use controller::Controller;
pub use pressure::Pressure;
pub use settings::Settings;
