//! Throttling, checkpointing and evicting batch work for quick work.
//!
//! Two signs of pressure have two answers. Quick work that runs slower than it would alone needs
//! processor time: batch work is throttled in steps, and evicted only when the last step does not
//! help. Quick work that waits for room needs the room itself: batch tasks are checkpointed and
//! evicted, least lost work first. Both answers have a hysteresis, and evictions a cap.

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
