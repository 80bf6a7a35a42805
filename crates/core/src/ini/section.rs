//! Sections of a document.

use super::Entry;

/// A section header of the form `[name]` and the entries below it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// The name between the brackets.
    pub name: String,
    /// The line number of the header, counted from 1.
    pub line: u32,
    /// The entries in the order of the text.
    pub entries: Vec<Entry>,
}

impl Section {
    /// The entry with this key.
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.entries.iter().find(|entry| entry.key == key)
    }
}
