//! The entry and the agent for graphs of tasks, over traits for the store and the worker.
//!
//! - [`entry`]: takes jobs in, answers for them, and owns the table of jobs when it is its turn.
//! - [`agent`]: the only caller of one worker; carries out the owner's orders.
//! - [`peers`]: calls between them.
//! - [`runs`]: the product's own interface of a worker, and the agent's side of it.
//! - [`log`]: one line for each decision, within a bounded rate.
//!
//! All decisions on jobs, workers and runs are systems of [`shallotflow_policy::plan`].

pub mod agent;
pub mod entry;
pub mod log;
pub mod peers;
pub mod runs;

/// Generated messages and services.
#[allow(missing_docs, clippy::all, unreachable_pub)]
pub mod proto {
    include!("generated/shallotflow.scheduler.v1.rs");
}
