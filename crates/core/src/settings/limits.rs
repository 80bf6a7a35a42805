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
            connections: 8_000,
        }
    }
}

/// The keys of a process that has limits: its own, then those of `[limits]`.
///
/// The settings of the process keep them in a field named `limits`.
macro_rules! with_limits {
    ($($own:expr),+ $(,)?) => {
        &[
            $($own,)+
            key!("limits", limits.head_bytes: Size<usize>, "Largest head of a message.", 1024..=1024 * 1024),
            key!("limits", limits.body_bytes: Size<u64>, "Largest body of a message.", 0..=1 << 30),
            key!("limits", limits.idle: Span, "Longest wait for the next request on an idle connection.", ms(100)..=s(3600)),
            key!("limits", limits.head: Span, "Longest time from the first byte of a head to its last.", ms(100)..=s(60)),
            key!("limits", limits.stall: Span, "Longest pause within a body.", ms(100)..=s(600)),
            key!("limits", limits.connections: Count<usize>, "Most connections at a time.", 1..=1_000_000),
        ]
    };
}

pub(crate) use with_limits;
