//! Batch tasks: executes the commands of the lease table.

mod convert;
mod execute;

pub(crate) use convert::{adoption, lapsed, observation};
pub(crate) use execute::{execute, start, stop};
