//! Messages of a worker's control interface, carried as JSON over HTTP.
//!
//! Each call is a `POST` to [`Call::PATH`] of its request and carries the incarnation of the agent
//! that sends it. A worker accepts only calls of the incarnation that attached last. Timestamps
//! are microseconds of the worker's own monotonic clock.

mod fault;
mod reply;
mod request;
mod task;

pub use fault::Fault;
pub use reply::{Attached, Checkpointed, Done, Listing, Sample, Samples, Stopped};
pub use request::{
    Acknowledge, Attach, Checkpoint, Lease, List, Renew, Start, Stop, Throttle, Usage,
};
pub use shallotflow_core::task::{Key, Phase};
pub use task::{ActiveRequest, Task};

/// The header with the incarnation of the agent that forwards a request to the target.
pub const INCARNATION_HEADER: &str = "shallotflow-incarnation";

/// A request of the control interface.
pub trait Call: serde::Serialize {
    /// The path of the HTTP request.
    const PATH: &'static str;
    /// The reply on success.
    type Reply: serde::de::DeserializeOwned;
}
