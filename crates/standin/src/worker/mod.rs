//! A worker that runs tasks under leases and records what it actually ran in the audit.

mod execution;
mod handle;
mod interference;
mod model;
mod request;
mod serve;
mod state;
mod work;

pub use handle::Worker;
pub use request::Request;
pub use serve::Control;

/// The result of a control call.
pub(crate) type Result<T> = std::result::Result<T, shallotflow_wire::control::Fault>;
