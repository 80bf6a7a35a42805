//! The control interface of the agent's worker.

mod attachment;
mod http;
mod watch;

pub use attachment::Attachment;
pub use http::Client;
pub(crate) use watch::watch;

use futures_util::future::LocalBoxFuture;
use shallotflow_wire::control::{
    Acknowledge, Attach, Attached, Done, Fault, List, Listing, Renew, Samples, Start, Stop,
    Stopped, Throttle, Usage,
};

/// Why a control call failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The worker refused the call and did not execute it.
    #[error("the worker refused the call: {0}")]
    Refused(#[from] Fault),
    /// The call was not sent.
    #[error("the worker is unreachable ({0}); check its control address")]
    Unreachable(String),
    /// The call was sent but not answered; the worker may have executed it.
    #[error("the worker did not answer ({0}); list its tasks before a retry")]
    NoAnswer(String),
}

/// The result of a control call.
pub type Result<T> = std::result::Result<T, Error>;

/// The control interface of a worker.
pub trait Control {
    /// Attaches this agent to the worker and fences off older agents.
    fn attach(&self, call: Attach) -> LocalBoxFuture<'_, Result<Attached>>;
    /// Starts a task; idempotent by key.
    fn start(&self, call: Start) -> LocalBoxFuture<'_, Result<Done>>;
    /// Extends leases.
    fn renew(&self, call: Renew) -> LocalBoxFuture<'_, Result<Done>>;
    /// Limits the CPU share of a task.
    fn throttle(&self, call: Throttle) -> LocalBoxFuture<'_, Result<Done>>;
    /// Stops a task, after a checkpoint if requested.
    fn stop(&self, call: Stop) -> LocalBoxFuture<'_, Result<Stopped>>;
    /// Acknowledges tasks that have ended, so that the worker removes them.
    fn acknowledge(&self, call: Acknowledge) -> LocalBoxFuture<'_, Result<Done>>;
    /// Lists the worker's tasks and requests once the list has changed (long poll).
    fn list(&self, call: List) -> LocalBoxFuture<'_, Result<Listing>>;
    /// Reads the usage reports that have become available.
    fn usage(&self, call: Usage) -> LocalBoxFuture<'_, Result<Samples>>;
}
