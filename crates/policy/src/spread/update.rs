//! Update for a process with an older revision.

use super::Patch;
use shallotflow_core::name::Name;

/// Newer revision for a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Update {
    /// Revision of the text.
    pub revision: u64,
    /// The text or a patch that produces it.
    pub body: Body,
}

/// Whole text or a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// The whole text.
    Whole(Name),
    /// Difference to a text that the receiver has.
    Patch(Patch),
}

impl Body {
    /// Bytes of text in the message.
    pub fn len(&self) -> usize {
        match self {
            Self::Whole(text) => text.len(),
            Self::Patch(patch) => patch.middle.len(),
        }
    }

    /// Whether the message has no text.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
