//! Tasks: single attempts of jobs at a worker.

mod key;
mod phase;

pub use key::Key;
pub use phase::Phase;
