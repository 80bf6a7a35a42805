//! Messages of a worker's control interface, carried as JSON over HTTP.
//!
//! Each call is a `POST` to the path named by its request's `PATH`, and names the incarnation of
//! the agent that sends it. A worker refuses calls of any incarnation but the one that attached
//! last. Points in time are microseconds of the worker's own monotonic clock.

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

/// The header that names the incarnation of the agent that forwards a request to the target.
pub const INCARNATION_HEADER: &str = "shallotflow-incarnation";

/// A call of the control interface.
pub trait Call: serde::Serialize {
    /// The path that it is posted to.
    const PATH: &'static str;
    /// What it is answered with.
    type Reply: serde::de::DeserializeOwned;
}
