//! The destination of a request.

use shallotflow_core::name::Name;
use shallotflow_policy::route;
use std::net::SocketAddr;
use std::time::Duration;

/// The peer that a request is sent to.
#[derive(Clone, Debug)]
pub(super) enum Destination {
    /// The agent of a target.
    Target {
        /// The target's identifier in the route table.
        id: route::Id,
        /// The target's worker.
        worker: Name,
        /// The address on which the agent accepts requests.
        address: SocketAddr,
        /// The expected time until the request starts to run.
        expected_wait: Duration,
        /// The expected time until the response, with the wait.
        expected_latency: Duration,
    },
    /// Another entry, by its address for callers.
    Entry(SocketAddr),
}

impl Destination {
    /// Returns the address to connect to.
    pub(super) fn address(&self) -> SocketAddr {
        match self {
            Self::Target { address, .. } | Self::Entry(address) => *address,
        }
    }
}
