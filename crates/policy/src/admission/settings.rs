//! Bounds of admission.

use serde::{Deserialize, Serialize};

/// How much may wait and run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Most quick requests that wait.
    pub quick_queue: usize,
    /// Most watchers that wait.
    pub watch_queue: usize,
    /// Most batch tasks that wait.
    pub batch_queue: usize,
    /// Most connections that watchers hold at a time.
    pub watch_connections: u32,
    /// How often work that does not fit yet is passed over before nothing may pass it any more.
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
