//! The agent: the only caller of one worker, carrying out the owner's orders.
//!
//! - [`Control`]: the calls that a worker takes.
//! - [`Lists`]: what a worker says it runs and what has ended.
//! - [`Agent`]: the agent's loops.
//! - [`desk`]: what it knows and owes.
//! - [`pace`]: how fast tasks that fill may work.
//! - [`Settings`]: its limits.
//!
//! The agent renews the leases of what runs only up to the time that the owner's last reply
//! allows, so that a worker that is cut off empties itself.

mod control;
pub mod desk;
mod lists;
mod look;
mod order;
pub mod pace;
mod report;
mod settings;
mod shared;

pub use control::{Control, Error, Result, Start};
pub use lists::Lists;
pub use settings::Settings;
pub use shared::Agent;
