//! Which log records are written.
//!
//! A filter is a level, then `target=level` for parts of a program, separated by commas, such as
//! `info,shallotflow_entry::batch=debug`; the longest matching target decides.

mod filter;
mod level;

pub use filter::{Error, Filter};
pub use level::Level;

/// The result of reading a filter.
pub type Result<T> = std::result::Result<T, Error>;
