//! The value that an entry publishes about itself in the store.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The addresses on which an entry listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// The address for agents and other entries.
    pub peers: SocketAddr,
    /// The address for callers.
    pub callers: SocketAddr,
}
