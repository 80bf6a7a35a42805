//! Limits on the HTTP connections of a process.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Limits on the size, the duration and the number of messages and connections.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum size of a message head, bytes.
    pub head_bytes: usize,
    /// Maximum size of a message body, bytes.
    pub body_bytes: u64,
    /// Timeout for the next request on an idle connection.
    pub idle: Duration,
    /// Timeout from the first byte of a message head to its last.
    pub head: Duration,
    /// Maximum pause within a body.
    pub stall: Duration,
    /// Timeout from the end of the head of a request to the end of its body, whatever arrives meanwhile.
    pub body: Duration,
    /// Maximum number of concurrent connections. A further one replaces one whose request has not
    /// arrived whole, or that is idle.
    pub connections: usize,
    /// Bytes that all connections may hold: buffers, and bodies until their requests are answered. Beyond it,
    /// connections whose requests have not arrived whole are closed.
    pub held_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 16 * 1024 * 1024,
            idle: Duration::from_secs(60),
            head: Duration::from_secs(5),
            stall: Duration::from_secs(10),
            // 16 MiB at 1.2 Mbit/s.
            body: Duration::from_secs(120),
            connections: 8_000,
            // A quarter of a machine of 256 MiB.
            held_bytes: 64 * 1024 * 1024,
        }
    }
}

/// Builds the key table of a process with limits: its own keys, then those of `[limits]`.
///
/// The settings struct of the process must have a field `limits` of type [`Limits`].
macro_rules! with_limits {
    ($($own:expr),+ $(,)?) => {
        &[
            $($own,)+
            key!("limits", limits.head_bytes: Size<usize>, "Maximum size of a message head.", 1024..=1024 * 1024),
            key!("limits", limits.body_bytes: Size<u64>, "Maximum size of a message body.", 0..=1 << 30),
            key!("limits", limits.idle: Span, "Timeout for the next request on an idle connection.", ms(100)..=s(3600)),
            key!("limits", limits.head: Span, "Timeout from the first byte of a message head to its last.", ms(100)..=s(60)),
            key!("limits", limits.stall: Span, "Maximum pause within a body.", ms(100)..=s(600)),
            key!("limits", limits.body: Span, "Timeout from the end of a head to the end of its body.", ms(100)..=s(3600)),
            key!("limits", limits.held_bytes: Size<usize>, "Maximum sum of what all connections hold; beyond it, unfinished requests are closed.", 1024 * 1024..=1 << 40),
            key!("limits", limits.connections: Count<usize>, "Maximum number of concurrent connections.", 1..=1_000_000),
        ]
    };
}

pub(crate) use with_limits;
