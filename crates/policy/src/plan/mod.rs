//! Scheduling of task graphs over many workers by a single owner.
//!
//! The owner keeps one [`Table`] of jobs and workers. Agents report the active and ended runs of
//! their workers; callers submit and cancel jobs. Each tick, the owner updates the table, which
//! yields orders for agents and records for the store.
//!
//! - [`message`]: the messages between agents and the owner.
//! - [`Settings`]: limits and weights of the decisions.
//! - [`Fence`]: which calls a worker carries out.
//! - [`Lease`]: for how long runs go on without contact to the owner.
//! - [`Progress`]: the stored progress of a job that has started.
//! - [`Sizes`]: the largest observed workers, to reject jobs that fit none.
//! - [`Backlog`]: the accepted work that the owner advertises to entries.
//! - [`Promises`]: the delays of the jobs that an entry refuses by it.
//! - [`Delay`]: where the time of an ended job went.
//! - [`Event`]: decisions and observations, for the log.
//! - [`Mismatch`]: a difference between state that is kept up to date and its source, for tests.
//! - [`EvacuationRequests`], [`Evacuation`]: requests to evacuate failure domains, and their effect.
//! - [`waits`]: why tasks do not run, for logs, metrics and operators.
//! - `accept`, `report`, `expire`, `disturbance`, `durations`, `backlog`, `opening`, `interference`,
//!   `strength`, `starvation`, `place`, `record`, `relocate`, `urgency`, `crash`, `evacuate`: the operations on the table.
//!
//! A run occupies its worker until the worker lists its end, also if its task goes on elsewhere, is done
//! or is not known.
//!
//! The cost of an operation depends on what it changes, not on what the table holds: the jobs with
//! waiting tasks are kept in order, each worker's load is a sum over its runs, the workers are kept
//! in lists by load, and deadlines are kept in a heap.
//!
//! A start is not recorded before it is ordered. Instead, workers fence older owners, number their
//! runs, and list active runs, and ended runs until the end is confirmed as recorded. A new owner
//! learns from these lists what its predecessor started. A task that may still run at a worker whose
//! agent has not reported stays [`Phase::Uncertain`] until the agent reports or its last lease must
//! have ended.

mod accept;
mod advertisement;
mod audit;
mod backlog;
mod changes;
mod cold;
mod crash;
mod delay;
mod demand;
mod disturbance;
mod durations;
mod evacuate;
mod evacuation;
pub mod evacuation_requests;
mod evacuations;
mod event;
mod expire;
mod fate;
mod fence;
mod holds;
mod interference;
mod job;
mod lease;
mod load;
mod locality;
mod loss;
mod measured;
pub mod message;
mod opening;
mod outbox;
mod place;
mod progress;
mod promises;
mod racks;
mod ranking;
mod record;
mod refusals;
mod relocate;
mod remnant;
mod report;
mod search;
mod settings;
mod sizes;
mod starvation;
mod strength;
mod table;
mod task_state;
mod timers;
mod trial;
mod urgency;
mod wait;
pub mod waits;
mod worker;

pub use advertisement::Backlog;
pub use audit::Mismatch;
pub use delay::Delay;
pub use evacuation::Evacuation;
pub use evacuation_requests::EvacuationRequests;
pub use event::Event;
pub use fence::Fence;
pub use job::Job;
pub use lease::Lease;
pub use locality::{Decision, Locality};
pub use progress::Progress;
pub use promises::Promises;
pub use record::Record;
pub use settings::Settings;
pub use sizes::Sizes;
pub use table::{Table, UNLISTED};
pub use task_state::{Phase, TaskState};
pub use worker::Worker;
