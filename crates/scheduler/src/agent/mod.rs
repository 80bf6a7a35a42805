//! The agent: the only caller of one worker, which carries out the owner's orders.
//!
//! - [`Control`]: the calls that a worker serves.
//! - [`Lists`]: a worker's lists of active and ended runs.
//! - [`Agent`]: the agent's loops.
//! - [`run_table`]: the state that it keeps of its worker and what the owner has not confirmed yet.
//! - [`pace`]: the paces of best-effort tasks.
//! - [`Poll`], [`Verdict`]: what that table decides on a poll and on a registration.
//! - [`Settings`]: its limits.
//!
//! The agent renews the leases of runs only up to the time that the owner's last reply allows, so
//! that the runs of an isolated worker end by themselves.

mod account;
mod claim;
mod contender;
mod control;
mod crashes;
mod lists;
mod look;
mod open_starts;
mod order;
pub mod pace;
mod poll;
mod registration;
mod report;
pub mod run_table;
mod settings;
mod shared;
mod verdict;

pub use control::{Control, Error, Result, Start};
pub use lists::Lists;
pub use poll::Poll;
pub use settings::Settings;
pub use shared::Agent;
pub use verdict::Verdict;
