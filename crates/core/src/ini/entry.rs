//! A key with its value.

/// One line of the form `key = value`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key, without surrounding blanks.
    pub key: String,
    /// The value, without surrounding blanks.
    pub value: String,
    /// The line, counted from 1.
    pub line: u32,
}
