//! Graphs of tasks on many workers, decided by one owner.
//!
//! The owner keeps one [`Table`] of jobs and workers. Agents report what their workers run and what
//! has ended; callers hand in and cancel jobs; systems run over the table each tick and leave
//! orders for agents and records for the store.
//!
//! - [`message`]: what agents and the owner tell each other.
//! - [`Settings`]: limits and weights of the decisions.
//! - [`Progress`]: what the store keeps of a job that has begun.
//! - [`Sizes`]: the largest workers that were seen, to refuse what fits none.
//! - [`Event`]: what was decided, for the log.
//! - `accept`, `hear`, `expire`, `harm`, `place`, `record`, `urgency`: the systems.
//!
//! A start is not recorded before it is ordered. Workers fence, number their runs and list what
//! runs and what has ended until told that the end is recorded, so a new owner learns from the
//! lists what its predecessor started. Tasks that an agent that has not reported yet may still
//! run stay [`Phase::Uncertain`] until it reports or its last lease must have ended.

mod accept;
mod demand;
mod disturbance;
mod event;
mod expire;
mod headroom;
mod job;
pub mod message;
mod place;
mod progress;
mod record;
mod report;
mod settings;
mod sizes;
mod table;
mod task_state;
mod urgency;
mod worker;

pub use event::Event;
pub use job::Job;
pub use progress::Progress;
pub use record::Record;
pub use settings::Settings;
pub use sizes::Sizes;
pub use table::Table;
pub use task_state::{Phase, TaskState};
pub use worker::Worker;
