//! Kinds of values: how each is written and read.

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

/// One kind of value.
pub trait Codec {
    /// The type of the value.
    type Value;

    /// What the text has to be, as a noun phrase with examples.
    const EXPECTED: &'static str;

    /// Reads a text; `None` when it is not of this kind.
    fn parse(text: &str) -> Option<Self::Value>;

    /// Prints a value so that [`Codec::parse`] reads it back.
    fn print(value: &Self::Value) -> String;
}

/// Reads a value of the key `key`.
///
/// # Errors
///
/// [`Fault::Syntax`] when `text` is not of this kind.
pub fn read<C: Codec>(key: &str, text: &str) -> Result<C::Value, Fault> {
    C::parse(text).ok_or_else(|| Fault::Syntax {
        key: key.to_owned(),
        value: text.to_owned(),
        expected: C::EXPECTED.to_owned(),
    })
}

/// Reads a value of the key `key` that has to lie within `range`.
///
/// # Errors
///
/// [`Fault::Syntax`] or [`Fault::Range`].
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

/// The ends of `range` as text.
pub fn bounds<C: Codec>(range: &RangeInclusive<C::Value>) -> (String, String) {
    (C::print(range.start()), C::print(range.end()))
}
