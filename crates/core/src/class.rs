//! The three classes of work that share a worker.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A class of work; each class has its own queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A latency-critical request from an interactive user.
    Quick,
    /// A long-lived request that is idle most of the time.
    Watch,
    /// Work that may be delayed, throttled and evicted.
    Batch,
}

impl Class {
    /// The name used in settings, headers and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Quick => "quick",
            Self::Watch => "watch",
            Self::Batch => "batch",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
