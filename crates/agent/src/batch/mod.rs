//! Batch tasks: carries out what the lease table decides.

mod carry;
mod convert;

pub(crate) use carry::{carry_out, start, stop};
pub(crate) use convert::{held, lost, observation};
