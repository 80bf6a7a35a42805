//! Log levels and filters.
//!
//! A filter is a default level followed by comma-separated `target=level` rules, such as
//! `info,shallotflow_entry::batch=debug`; the rule with the longest matching target applies.

mod filter;
mod level;

pub use filter::{Error, Filter};
pub use level::Level;

/// The result of parsing a filter.
pub type Result<T> = std::result::Result<T, Error>;
