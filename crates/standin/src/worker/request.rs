//! Requests to the target.

use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use std::time::Duration;

/// A request that the target has received.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifier, unique among the requests in flight on this worker.
    pub id: Name,
    /// Identifier shared by all attempts of the request, if it has one.
    pub request_id: Option<Name>,
    /// Kind of work.
    pub kind: Name,
    /// Resources that the agent reserved for the request.
    pub resources: Bundle,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Run time without interference, if the request specifies it.
    pub run: Option<Duration>,
}
