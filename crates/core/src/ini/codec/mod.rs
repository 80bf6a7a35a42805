//! Codecs: how each type of value is formatted and parsed.

mod address;
mod count;
mod filter;
mod flag;
mod label;
mod line;
mod list;
mod optional;
mod percent;
mod size;
mod span;
mod timestamp;
mod unit;

pub use address::Address;
pub use count::Count;
pub use filter::Filter;
pub use flag::Flag;
pub use label::Label;
pub use line::Line;
pub use list::List;
pub use optional::Optional;
pub use percent::Percent;
pub use size::Size;
pub use span::Span;
pub use timestamp::Timestamp;

use super::Fault;
use std::ops::RangeInclusive;

/// The textual form of one type of value.
pub trait Codec {
    /// The type of the value.
    type Value;

    /// The expected form of the text, as a noun phrase with examples.
    const EXPECTED: &'static str;

    /// Parses a text; returns `None` if it does not have this form.
    fn parse(text: &str) -> Option<Self::Value>;

    /// Formats a value as a text that [`Codec::parse`] accepts.
    fn print(value: &Self::Value) -> String;
}

/// Parses a value of the key `key`.
///
/// # Errors
///
/// [`Fault::Syntax`] if `text` does not have the expected form.
pub fn read<C: Codec>(key: &str, text: &str) -> Result<C::Value, Fault> {
    C::parse(text).ok_or_else(|| Fault::Syntax {
        key: key.to_owned(),
        value: text.to_owned(),
        expected: C::EXPECTED.to_owned(),
    })
}

/// Parses a value of the key `key` that must lie within `range`.
///
/// # Errors
///
/// [`Fault::Syntax`] if `text` does not have the expected form, [`Fault::Range`] if the value is
/// out of range.
pub fn read_within<C: Codec<Value: PartialOrd>>(
    key: &str,
    text: &str,
    range: &RangeInclusive<C::Value>,
) -> Result<C::Value, Fault> {
    let value = read::<C>(key, text)?;
    if range.contains(&value) {
        return Ok(value);
    }
    let (lowest, highest) = bounds::<C>(range);
    Err(Fault::Range { key: key.to_owned(), value: text.to_owned(), lowest, highest })
}

/// The minimum and maximum of `range` as text.
pub fn bounds<C: Codec>(range: &RangeInclusive<C::Value>) -> (String, String) {
    (C::print(range.start()), C::print(range.end()))
}
