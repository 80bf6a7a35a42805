//! Forwards quick requests and watchers to agents.
//!
//! [`dispatch()`] chooses a target, sends the request there and decides whether to retry after a
//! failure. A request whose kind has no target here is relayed to another entry, at most once.
//! Requests share only the tables and the idle connections. A connection whose exchange was
//! abandoned is closed, so that a late response cannot reach another request.

mod attempt;
mod destination;
mod dispatch;
mod download;
mod failure;
mod in_flight;
mod payload;
mod relay;
mod request;
mod targets;
mod ticket;
mod upload;

pub use dispatch::dispatch;
pub use failure::caller_problem;
pub use payload::Payload;
pub use request::Request;

/// The result of a request: the target's response, or the problem document for the caller.
pub type Result<T> = std::result::Result<T, shallotflow_core::problem::Problem>;
