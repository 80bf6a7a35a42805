//! How a text travels to a process that is behind.

use super::Patch;
use shallotflow_core::name::Name;

/// A newer revision for a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// The revision.
    pub revision: u64,
    /// Its text.
    pub body: Body,
}

/// A text, whole or in part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// The whole text.
    Whole(Name),
    /// The difference from a text that the receiver has.
    Patch(Patch),
}

impl Body {
    /// Bytes of text that travel.
    pub fn len(&self) -> usize {
        match self {
            Self::Whole(text) => text.len(),
            Self::Patch(patch) => patch.middle.len(),
        }
    }

    /// Whether no text travels.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
