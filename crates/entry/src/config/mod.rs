//! The fleet configuration at an entry.
//!
//! [`follow`] reads the configuration from the store and watches it; the report handler calls
//! [`Keeper::hear`] for each report, so that an entry which starts while the store is down learns
//! the configuration from agents, and agents learn that they are behind. [`Keeper::resolve`]
//! gives the values in force.

mod follow;
mod keeper;
mod notice;

pub use follow::follow;
pub use keeper::Keeper;
pub use notice::Notice;
