//! What is known of a request once it has been answered.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It ran, and the answer is whole.
    Done,
    /// It did not run and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// The name used in headers and problem documents.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Reads a name as written by [`Outcome::as_str`].
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "done" => Some(Self::Done),
            "not-run" => Some(Self::NotRun),
            "unknown" => Some(Self::Unknown),
            _ => None,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
