//! A target as it announces itself.

use shallotflow_core::name::Name;
use std::net::SocketAddr;

/// A target as it announces itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The worker.
    pub worker: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Where its agent takes requests.
    pub address: SocketAddr,
    /// The kinds that it serves.
    pub kinds: Vec<Name>,
}
