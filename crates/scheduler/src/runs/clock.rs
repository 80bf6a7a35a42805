use serde::{Deserialize, Serialize};

/// The answer to an order that was carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Clock {
    /// The worker's own monotonic clock, in milliseconds.
    pub clock_ms: u64,
}
