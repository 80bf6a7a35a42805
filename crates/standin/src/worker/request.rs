//! Requests of the target.

use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use std::time::Duration;

/// A request as it reaches the target.
#[derive(Clone, Debug)]
pub struct Request {
    /// Tells it from any other request in progress here.
    pub id: Name,
    /// The identifier that all tries of the request share, if it has one.
    pub request_id: Option<Name>,
    /// The kind of work.
    pub kind: Name,
    /// What the agent set aside for it.
    pub resources: Bundle,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Run time alone, if the request names it.
    pub run: Option<Duration>,
}
