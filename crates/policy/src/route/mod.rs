//! The choice of a target for a request.
//!
//! [`Table`] keeps the targets in columns, indexed by kind. [`Table::choose`] draws two eligible
//! targets and takes the one with the shorter expected wait; the cost does not depend on the
//! number of targets. The load that a target reports is corrected by what this entry itself has
//! sent since.

mod draw;
mod id;
mod kind;
mod kinds;
mod load;
mod place;
mod query;
mod row;
mod settings;
mod table;
mod target;

pub use id::Id;
pub use load::Load;
pub use query::{Choice, Query};
pub use settings::Settings;
pub use table::Table;
pub use target::Target;
