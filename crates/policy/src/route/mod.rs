//! Choice of a target for a request.
//!
//! [`Table`] stores the targets in columns, indexed by kind. [`Table::choose`] draws pairs of
//! eligible targets at random and returns the one with the lowest expected latency; the time it
//! takes does not depend on the number of targets. The load that a target reports is corrected by
//! the requests that this entry has sent since the report.

mod id;
mod kind;
mod kinds;
mod load;
mod query;
mod registration;
mod selection;
mod settings;
mod stats;
mod table;
mod target;

pub use id::Id;
pub use load::Load;
pub use query::{Choice, Query};
pub use settings::Settings;
pub use table::Table;
pub use target::Target;
