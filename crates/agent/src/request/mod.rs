//! Requests from entries: admitted here, answered by the target.

mod carried;
mod forward;
mod head;
mod load;
mod meter;
mod serve;

pub(crate) use forward::pool;
pub(crate) use load::load;
pub use meter::Meter;
pub(crate) use serve::Door;

use shallotflow_core::problem::Problem;

/// The result of a step of a request; a failure is answered as it is.
pub(crate) type Result<T> = std::result::Result<T, Problem>;
