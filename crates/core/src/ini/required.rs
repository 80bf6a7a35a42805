//! Keys without a default that could be meant.

/// A key that a file has to give.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Required {
    /// Its section.
    pub section: &'static str,
    /// Its name.
    pub key: &'static str,
}
