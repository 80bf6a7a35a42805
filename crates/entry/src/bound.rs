//! The addresses on which an entry listens.

use std::net::SocketAddr;

/// The addresses that a running entry has bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for agents and other entries.
    pub peers: SocketAddr,
    /// The address for agents and other entries, for jobs of several tasks; `None` if not
    /// configured.
    pub graphs: Option<SocketAddr>,
    /// The address for operators.
    pub operators: SocketAddr,
}
