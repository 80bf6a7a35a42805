//! A worker: it runs tasks under leases and keeps its own account of what really happened.

mod floor;
mod held;
mod pace;
mod plan;
mod request;
mod serve;
mod state;
mod work;

pub use floor::Floor;
pub use request::Request;
pub use serve::Control;

/// The result of a control call.
pub(crate) type Result<T> = std::result::Result<T, shallotflow_wire::control::Fault>;
