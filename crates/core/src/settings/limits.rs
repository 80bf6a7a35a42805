//! Limits on the HTTP connections of a process.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// How much and how slowly a peer may send.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Largest head, bytes.
    pub head_bytes: usize,
    /// Largest body, bytes.
    pub body_bytes: u64,
    /// Longest wait for the next request on an idle connection.
    pub idle: Duration,
    /// Longest time from the first byte of a head to its last.
    pub head: Duration,
    /// Longest pause within a body.
    pub stall: Duration,
    /// Most connections at a time.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 16 * 1024 * 1024,
            idle: Duration::from_secs(60),
            head: Duration::from_secs(5),
            stall: Duration::from_secs(10),
            connections: 10_000,
        }
    }
}
