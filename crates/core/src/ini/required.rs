//! Required keys.

/// A key that a file must contain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Required {
    /// The section of the key.
    pub section: &'static str,
    /// The name of the key.
    pub key: &'static str,
}
