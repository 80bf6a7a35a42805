//! The three classes of work that share a worker.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A class of work; each class waits in a queue of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// A latency-critical request that a person waits for.
    Quick,
    /// A long-lived request that mostly waits.
    Watch,
    /// Work that may wait, be throttled and be evicted.
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
