//! Where a request is sent.

use shallotflow_core::name::Name;
use shallotflow_policy::route;
use std::net::SocketAddr;
use std::time::Duration;

/// Where a request is sent.
#[derive(Clone, Debug)]
pub(super) enum Place {
    /// The agent of a target.
    Target {
        /// The target in the table.
        id: route::Id,
        /// Its worker.
        worker: Name,
        /// Where the agent takes requests.
        address: SocketAddr,
        /// How long the request is expected to wait there.
        wait: Duration,
        /// How long it is expected to take there.
        total: Duration,
    },
    /// Another entry.
    Entry(SocketAddr),
}

impl Place {
    /// Where to connect.
    pub(super) fn address(&self) -> SocketAddr {
        match self {
            Self::Target { address, .. } | Self::Entry(address) => *address,
        }
    }
}
