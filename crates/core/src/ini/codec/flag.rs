//! Booleans.

use super::Codec;

/// `true` or `false`.
#[derive(Debug)]
pub struct Flag;

impl Codec for Flag {
    type Value = bool;
    const EXPECTED: &'static str = "`true` or `false`";

    fn parse(text: &str) -> Option<bool> {
        text.parse().ok()
    }

    fn print(value: &bool) -> String {
        value.to_string()
    }
}
