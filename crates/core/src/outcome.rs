//! Whether a request was executed, as reported in its response.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Whether a request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It was executed and the response is complete.
    Done,
    /// It was not executed and never will be.
    NotRun,
    /// It may have been executed.
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

    /// Parses a name as returned by [`Outcome::as_str`].
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
