//! Earlier configuration texts, as bases of patches.

use shallotflow_core::name::Name;
use std::collections::VecDeque;

/// The newest of the earlier texts, up to a total size.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct History {
    texts: VecDeque<Text>,
    bytes: usize,
    max_bytes: usize,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Text {
    revision: u64,
    text: Name,
}

impl History {
    /// Creates an empty history that keeps at most `max_bytes` bytes of text.
    pub(super) fn new(max_bytes: usize) -> Self {
        Self { max_bytes, ..Self::default() }
    }

    /// Adds a text and removes the oldest ones beyond the limit.
    pub(super) fn push(&mut self, revision: u64, text: Name) {
        self.bytes += text.len();
        self.texts.push_back(Text { revision, text });
        while self.bytes > self.max_bytes {
            let Some(oldest) = self.texts.pop_front() else { return };
            self.bytes -= oldest.text.len();
        }
    }

    /// Returns the text of `revision`.
    pub(super) fn get(&self, revision: u64) -> Option<&Name> {
        self.texts.iter().find(|text| text.revision == revision).map(|text| &text.text)
    }
}
