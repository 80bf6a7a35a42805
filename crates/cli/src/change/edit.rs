//! What an edit makes of the current text.

/// A new text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit {
    /// The text.
    pub text: String,
    /// Whether changes of others were merged into it.
    pub merged: bool,
}

impl Edit {
    /// A text made directly from the current one.
    pub fn direct(text: String) -> Self {
        Self { text, merged: false }
    }
}
