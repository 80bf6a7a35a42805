//! The fleet configuration at an entry.
//!
//! [`follow()`] reads the configuration from the store and watches it. The report handler calls
//! [`Keeper::apply_report`] for each report, so that an entry that starts during an outage of the
//! store receives the configuration from agents, and agents learn when theirs is outdated.
//! [`Keeper::resolve`] returns the values in force.

mod follow;
mod keeper;
mod notice;

pub use follow::follow;
pub use keeper::Keeper;
pub use notice::Notice;
