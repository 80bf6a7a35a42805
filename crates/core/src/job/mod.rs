//! Batch jobs, from submission to a final state.

mod record;
mod spec;
mod state;

pub use record::Record;
pub use spec::Spec;
pub use state::State;
