//! A request to be dispatched.

use super::Payload;
use crate::callers::Options;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;

/// A quick request or a watcher, as received from the caller.
pub struct Request {
    /// Its identifier, also sent to the agent and returned to the caller.
    pub id: Name,
    /// The kind of work.
    pub kind: Name,
    /// The options from its headers.
    pub options: Options,
    /// The time at which the caller stops waiting.
    pub deadline: Time,
    /// The head as the caller sent it.
    pub head: http::request::Parts,
    /// The body.
    pub payload: Payload,
}
