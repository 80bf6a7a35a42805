//! The result of editing the current text.

/// A new configuration text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// The configuration text (INI).
    pub text: String,
    /// Whether concurrent changes were merged into the text.
    pub merged: bool,
}

impl Edit {
    /// Creates an edit of the current text that needed no merge.
    pub fn unmerged(text: String) -> Self {
        Self { text, merged: false }
    }
}
