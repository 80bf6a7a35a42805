//! The entry and the agent for task graphs, over traits for the store and the worker.
//!
//! - [`entry`]: accepts jobs, reports their states, and keeps the table of jobs while it is the
//!   owner.
//! - [`agent`]: the only caller of one worker, which carries out the owner's orders.
//! - [`peers`]: calls between entries and agents.
//! - [`runs`]: the product's own interface of a worker, and the agent's client of it.
//! - [`log`]: one log line for each decision, within a bounded rate.
//! - [`refusals`]: log lines for refused messages and records, at a bounded rate.
//!
//! The systems of [`shallotflow_policy::plan`] make all decisions on jobs, workers and runs.

pub mod agent;
pub mod entry;
pub mod log;
pub mod peers;
pub mod refusals;
pub mod runs;

/// Generated messages and services.
#[allow(missing_docs, clippy::all, unreachable_pub)]
pub mod proto {
    include!("generated/shallotflow.scheduler.v1.rs");
}
