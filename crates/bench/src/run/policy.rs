//! The scheduler under test and its load.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// A scheduler and the parts of the load that it gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Policy {
    /// The scheduler with the whole load.
    Ours,
    /// The scheduler with the same quick load, without batch jobs.
    Isolated,
    /// The naive scheduler with the whole load.
    Naive,
    /// The scheduler with the batch load only.
    Batch,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Self; 4] = [Self::Ours, Self::Isolated, Self::Naive, Self::Batch];

    /// The name on the command line and in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::Isolated => "isolated",
            Self::Naive => "naive",
            Self::Batch => "batch",
        }
    }

    /// Whether batch jobs are submitted.
    pub fn sends_jobs(self) -> bool {
        self != Self::Isolated
    }

    /// Whether quick requests and watchers are sent.
    pub fn sends_requests(self) -> bool {
        self != Self::Batch
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|policy| policy.as_str() == text);
        found.ok_or_else(|| {
            format!("policy {text:?} is unknown; use ours, isolated, naive or batch")
        })
    }
}
