//! A request on its way.

use super::Payload;
use crate::callers::Ask;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;

/// A quick request or a watcher.
pub struct Request {
    /// Its identifier, for logs.
    pub id: Name,
    /// The kind of work.
    pub kind: Name,
    /// What the caller asked for.
    pub ask: Ask,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// The head as the caller sent it.
    pub head: http::request::Parts,
    /// The body.
    pub payload: Payload,
}
