//! The entry: takes jobs in, answers for them, and owns the table of jobs when it is its turn.
//!
//! - [`Entry`]: what the loops of one entry share, and the calls of its callers.
//! - [`Settings`]: its limits.
//! - [`Submission`], [`Cancellation`]: what became of a caller's call.
//! - [`keys`]: what the store holds.
//! - `membership`: the entry's presence, and who owns the table.
//! - `elect`: when the table is claimed or given up.
//! - `own`: the owner's loops.
//! - `submit`, `ask`: the callers' calls.
//! - `serve`: the calls of agents and of other entries.

mod ask;
mod elect;
mod holder;
pub mod keys;
mod membership;
mod meters;
mod own;
mod reign;
mod serve;
mod settings;
mod shared;
mod submission;
mod submit;

pub use settings::Settings;
pub use shared::Entry;
pub use submission::{Cancellation, Submission};
