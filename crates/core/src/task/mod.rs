//! Tasks: single attempts to run a job on a worker.

mod key;
mod phase;

pub use key::Key;
pub use phase::Phase;
