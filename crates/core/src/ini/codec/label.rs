//! Names.

use super::Codec;
use crate::name::Name;

/// A name of letters, digits, `-`, `_` and `.`, at most [`Label::BYTES`] long.
#[derive(Debug)]
pub struct Label;

impl Label {
    /// The longest name, bytes.
    pub const BYTES: usize = 100;
}

impl Codec for Label {
    type Value = Name;
    const EXPECTED: &'static str = "a name of at most 100 letters, digits, `-`, `_` and `.`";

    fn parse(text: &str) -> Option<Name> {
        let accepted = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
        let valid = !text.is_empty() && text.len() <= Self::BYTES && text.bytes().all(accepted);
        valid.then(|| text.into())
    }

    fn print(value: &Name) -> String {
        value.to_string()
    }
}
