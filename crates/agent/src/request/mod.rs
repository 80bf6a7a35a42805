//! Requests from entries: the agent admits them, the target answers them.

mod forward;
mod head;
mod load;
mod meter;
mod reservation;
mod serve;

pub(crate) use forward::pool;
pub(crate) use load::load;
pub use meter::Meter;
pub(crate) use serve::Server;

use shallotflow_core::problem::Problem;

/// The result of a step of a request; the error is the response to the entry.
pub(crate) type Result<T> = std::result::Result<T, Problem>;
