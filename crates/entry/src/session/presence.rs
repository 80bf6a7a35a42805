//! What an entry says of itself.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Where an entry listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Presence {
    /// For agents and other entries.
    pub peers: SocketAddr,
    /// For callers.
    pub callers: SocketAddr,
}
