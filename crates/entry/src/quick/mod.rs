//! Quick requests and watchers on their way to an agent and back.
//!
//! [`dispatch`] chooses a target, sends the request there and decides what follows a failure; a
//! kind without a target here is passed to another entry once. Nothing is shared between requests
//! but the tables and the idle connections; a connection that was given up is closed, so that no
//! answer reaches another request.

mod attempt;
mod dispatch;
mod failure;
mod flight;
mod payload;
mod place;
mod relay;
mod relayed;
mod request;
mod targets;
mod ticket;
mod upload;

pub use dispatch::dispatch;
pub use failure::caller_problem;
pub use payload::Payload;
pub use request::Request;

/// The result of a request: an answer to pass on, or what the caller is told instead.
pub type Result<T> = std::result::Result<T, shallotflow_core::problem::Problem>;
