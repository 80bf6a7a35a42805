//! A worker: it runs tasks under leases and keeps its own account of what really happened.

mod floor;
mod pace;
mod plan;
mod serve;
mod work;

pub use floor::{Floor, Request};
pub use serve::Control;

/// The result of a control call.
pub(crate) type Result<T> = std::result::Result<T, shallotflow_wire::control::Fault>;
