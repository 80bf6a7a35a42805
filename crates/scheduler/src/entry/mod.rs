//! The entry: accepts jobs, reports their states, and keeps the table of jobs while it is the
//! owner.
//!
//! - [`Entry`]: the state that the loops of one entry share, and the calls that its callers make.
//! - [`Settings`]: its limits.
//! - [`Submission`], [`Cancellation`]: the outcome of a caller's call.
//! - [`keys`]: the keys in the store.
//! - `membership`: the entry's presence, the other entries and the owner of the table.
//! - `witnesses`: what other entries say while the store does not answer the owner.
//! - `elect`: the election of the owner.
//! - `vacancy`, `ground`: the state on which a claim is decided.
//! - `own`: the loops of the owner.
//! - `stored`: a job as the store holds it.
//! - `requests`: the owner's view of the jobs and cancels in the store.
//! - `evacuate`: the owner's view of the requests to evacuate failure domains.
//! - `submit`, `ask`: the callers' calls.
//! - `overload`: the refusal of jobs by the owner's advertised backlog.
//! - `waits`: why tasks do not run, for operators.
//! - `serve`: the calls of agents and of other entries.

mod absence;
mod activity;
mod ask;
mod elect;
mod evacuate;
mod ground;
pub mod keys;
mod member;
mod membership;
mod meters;
mod overload;
mod own;
mod ownership;
mod requests;
mod serve;
mod settings;
mod shared;
mod shown;
mod stored;
mod submission;
mod submit;
mod vacancy;
mod waits;
mod witnesses;

pub use settings::Settings;
pub use shared::Entry;
pub use submission::{Cancellation, Submission};
