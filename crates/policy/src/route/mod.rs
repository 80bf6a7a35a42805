//! The choice of a target for a request.
//!
//! [`Table`] keeps the targets in columns, indexed by kind. [`Table::choose`] draws two eligible
//! targets and takes the one with the shorter expected wait; the cost does not depend on the
//! number of targets. The load that a target reports is corrected by what this entry itself has
//! sent since.

mod id;
mod kind;
mod load;
mod row;
mod settings;
mod table;
mod wish;

pub use id::Id;
pub use load::Load;
pub use settings::Settings;
pub use table::{Table, Target};
pub use wish::{Choice, Wish};
