//! Testbeds: the workers, kinds of work and load of an experiment.
//!
//! A testbed is an INI file. Two are embedded, `guild` and `merkjagerd`; any other name is a path.

mod description;
mod disturbance;
mod kind;
mod reader;
mod site;
mod surge;

pub use description::Testbed;
pub use disturbance::Disturbance;
pub use kind::{Kind, Misdeclaration};
pub use site::Site;
pub use surge::Surge;

/// The result of reading a testbed.
pub type Result<T> = shallotflow_core::ini::Result<T>;
