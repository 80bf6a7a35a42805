//! Batch jobs, from submission to their last state.

mod record;
mod spec;
mod state;

pub use record::Record;
pub use spec::Spec;
pub use state::State;
