//! Batch tasks: executes the commands of the lease table.

mod carry;
mod convert;

pub(crate) use carry::{execute, start, stop};
pub(crate) use convert::{adoption, lapsed, observation};
