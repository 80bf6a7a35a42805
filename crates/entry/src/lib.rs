//! The entry: accepts callers' requests, routes quick work and owns batch ledgers.
//!
//! - [`callers`]: the callers' HTTP interface.
//! - [`quick`]: forwards quick requests and watchers to agents.
//! - [`batch`]: batch jobs, in ledgers of this entry or of other entries.
//! - `graphs`: jobs of several tasks, in a single table that one entry owns.
//! - [`config`]: the fleet configuration, from the store or from agents.
//! - [`peers`]: the `tonic` service for agents and other entries.
//! - `listeners`, `operators`: the listeners, readiness and the state dump.
//! - [`directory`]: the directory of live entries.
//! - [`meters`]: the metrics.
//! - [`session`]: the entry's lease and presence at the store.
//! - [`state`]: the tables that these modules share.
//! - [`tick`]: the periodic work on the tables.
//!
//! [`run`] starts an entry with its [`Settings`], in a process or in a test.

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
