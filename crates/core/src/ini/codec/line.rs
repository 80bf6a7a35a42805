//! Free text on one line.

use super::Codec;
use crate::name::Name;

/// A non-empty line of text.
#[derive(Debug)]
pub struct Line;

impl Codec for Line {
    type Value = Name;
    const EXPECTED: &'static str = "a line of text";

    fn parse(text: &str) -> Option<Name> {
        (!text.is_empty()).then(|| text.into())
    }

    fn print(value: &Name) -> String {
        value.to_string()
    }
}
