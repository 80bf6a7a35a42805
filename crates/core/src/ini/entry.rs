//! Key-value entries.

/// A line of the form `key = value`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key, without surrounding whitespace.
    pub key: String,
    /// The value, without surrounding whitespace.
    pub value: String,
    /// The line number, counted from 1.
    pub line: u32,
}
