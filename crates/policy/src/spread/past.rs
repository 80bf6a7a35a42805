//! Earlier texts, for patches.

use shallotflow_core::name::Name;
use std::collections::VecDeque;

/// The last texts, as far as they fit in a bound.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Past {
    texts: VecDeque<Text>,
    bytes: usize,
    bytes_kept: usize,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct Text {
    revision: u64,
    text: Name,
}

impl Past {
    /// Keeps at most `bytes_kept` bytes of texts.
    pub(super) fn new(bytes_kept: usize) -> Self {
        Self { bytes_kept, ..Self::default() }
    }

    pub(super) fn push(&mut self, revision: u64, text: Name) {
        self.bytes += text.len();
        self.texts.push_back(Text { revision, text });
        while self.bytes > self.bytes_kept {
            let Some(oldest) = self.texts.pop_front() else { return };
            self.bytes -= oldest.text.len();
        }
    }

    pub(super) fn get(&self, revision: u64) -> Option<&Name> {
        self.texts.iter().find(|past| past.revision == revision).map(|past| &past.text)
    }
}
