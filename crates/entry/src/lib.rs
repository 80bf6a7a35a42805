//! The entry: takes callers' requests, routes quick work and owns batch ledgers.
//!
//! - [`callers`]: the callers' HTTP interface.
//! - [`quick`]: quick requests and watchers on their way to an agent and back.
//! - [`batch`]: batch jobs, in the ledgers of this entry or of another.
//! - `graphs`: jobs of several tasks, in one table that one entry owns.
//! - [`config`]: the fleet configuration, from the store or from agents.
//! - [`peers`]: the `tonic` service for agents and other entries.
//! - `listeners`, `operators`: the listeners, readiness and the dump of the state.
//! - [`directory`]: the live entries.
//! - [`meters`]: the metrics.
//! - [`session`]: the entry's lease and presence at the store.
//! - [`state`]: the tables that these share.
//! - [`tick`]: the systems that run over the tables each tick.
//!
//! [`run`] puts them together; a process or a test calls it with its [`Settings`].

pub mod batch;
pub mod bound;
pub mod callers;
pub mod config;
pub mod directory;
pub mod meters;
pub mod peers;
pub mod quick;
pub mod session;
pub mod state;
pub mod tick;
pub mod unavailable;

mod graphs;
mod listeners;
mod operators;
mod serve;

pub use bound::Bound;
pub use serve::run;
pub use shallotflow_core::settings::entry::Settings;
