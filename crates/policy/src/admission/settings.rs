//! Settings of admission control.

use serde::{Deserialize, Serialize};

/// Limits on waiting and running work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Maximum number of waiting quick requests.
    pub quick_queue: usize,
    /// Maximum number of waiting watchers.
    pub watch_queue: usize,
    /// Maximum number of waiting batch tasks.
    pub batch_queue: usize,
    /// Maximum number of connections that watchers hold at once.
    pub watch_connections: u32,
    /// Number of times that work which does not fit yet is passed over before it blocks its queue.
    pub passes: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            quick_queue: 256,
            watch_queue: 32,
            batch_queue: 64,
            watch_connections: 32,
            passes: 8,
        }
    }
}
