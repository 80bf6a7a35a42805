//! Names of limited length and character set.

use super::Codec;
use crate::name::Name;

/// A name of at most [`Label::MAX_BYTES`] letters, digits, `-`, `_` and `.`.
#[derive(Debug)]
pub struct Label;

impl Label {
    /// Maximum length of a name in bytes.
    pub const MAX_BYTES: usize = 100;
}

impl Codec for Label {
    type Value = Name;
    const EXPECTED: &'static str = "a name of at most 100 letters, digits, `-`, `_` and `.`";

    fn parse(text: &str) -> Option<Name> {
        let is_valid = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let valid = !text.is_empty() && text.len() <= Self::MAX_BYTES && text.bytes().all(is_valid);
        valid.then(|| text.into())
    }

    fn print(value: &Name) -> String {
        value.to_string()
    }
}
