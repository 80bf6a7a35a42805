//! The addresses that an entry has bound.

use std::net::SocketAddr;

/// Where a started entry listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// For callers.
    pub callers: SocketAddr,
    /// For agents and other entries.
    pub peers: SocketAddr,
    /// For agents and other entries, about jobs of several tasks.
    pub graphs: Option<SocketAddr>,
    /// For operators.
    pub operators: SocketAddr,
}
