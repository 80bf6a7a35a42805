//! Kinds of values: how each is written and read.

use super::Fault;
use crate::log;
use crate::name::Name;
use chrono::{DateTime, SecondsFormat, Utc};
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

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

/// A whole number of type `T`.
#[derive(Debug)]
pub struct Count<T>(PhantomData<T>);

impl<T: FromStr + ToString> Codec for Count<T> {
    type Value = T;
    const EXPECTED: &'static str = "a whole number";

    fn parse(text: &str) -> Option<T> {
        text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok()).flatten()
    }

    fn print(value: &T) -> String {
        value.to_string()
    }
}

/// A number of bytes of type `T`, with a binary unit.
#[derive(Debug)]
pub struct Size<T>(PhantomData<T>);

const SIZE_UNITS: [(&str, u64); 4] =
    [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

impl<T: TryFrom<u64> + TryInto<u64> + Copy> Codec for Size<T> {
    type Value = T;
    const EXPECTED: &'static str = "a size with its unit, such as `512B`, `16KiB` or `1MiB`";

    fn parse(text: &str) -> Option<T> {
        T::try_from(with_unit(text, &SIZE_UNITS)?).ok()
    }

    fn print(value: &T) -> String {
        let bytes = (*value).try_into().unwrap_or(u64::MAX);
        print_with_unit(bytes, &SIZE_UNITS)
    }
}

/// A span of time with its unit, in whole milliseconds.
#[derive(Debug)]
pub struct Span;

const SPAN_UNITS: [(&str, u64); 4] = [("h", 3_600_000), ("ms", 1), ("m", 60_000), ("s", 1_000)];

impl Codec for Span {
    type Value = Duration;
    const EXPECTED: &'static str = "a duration with its unit, such as `500ms`, `5s` or `2m`";

    fn parse(text: &str) -> Option<Duration> {
        with_unit(text, &SPAN_UNITS).map(Duration::from_millis)
    }

    fn print(value: &Duration) -> String {
        let units = [("h", 3_600_000), ("m", 60_000), ("s", 1_000), ("ms", 1)];
        print_with_unit(u64::try_from(value.as_millis()).unwrap_or(u64::MAX), &units)
    }
}

fn with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let (digits, factor) = units
        .iter()
        .find_map(|(unit, factor)| text.strip_suffix(unit).map(|digits| (digits, *factor)))?;
    Count::<u64>::parse(digits.trim_end())?.checked_mul(factor)
}

fn print_with_unit(value: u64, units: &[(&str, u64)]) -> String {
    let fits = |factor: &u64| value != 0 && value.is_multiple_of(*factor);
    let smallest = units[units.len() - 1];
    let (unit, factor) = *units.iter().find(|(_, factor)| fits(factor)).unwrap_or(&smallest);
    format!("{}{unit}", value / factor)
}

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

/// A line of text, not empty.
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

/// A log filter; see [`crate::log`].
#[derive(Debug)]
pub struct Filter;

impl Codec for Filter {
    type Value = Name;
    const EXPECTED: &'static str = "a log filter, such as `info` or `info,shallotflow_entry=debug`";

    fn parse(text: &str) -> Option<Name> {
        text.parse::<log::Filter>().ok().map(|filter| filter.as_str().into())
    }

    fn print(value: &Name) -> String {
        value.to_string()
    }
}

/// An address of the form ip:port.
#[derive(Debug)]
pub struct Address;

impl Codec for Address {
    type Value = SocketAddr;
    const EXPECTED: &'static str = "an address of the form ip:port, such as `127.0.0.1:7000`";

    fn parse(text: &str) -> Option<SocketAddr> {
        text.parse().ok()
    }

    fn print(value: &SocketAddr) -> String {
        value.to_string()
    }
}

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

/// A share from 0 to 1, kept in thousandths and written in percent.
#[derive(Debug)]
pub struct Percent;

impl Codec for Percent {
    type Value = u32;
    const EXPECTED: &'static str = "a percentage with at most one decimal, such as `25%` or `2.5%`";

    fn parse(text: &str) -> Option<u32> {
        let number = text.strip_suffix('%')?.trim_end();
        let (whole, tenths) = number.split_once('.').unwrap_or((number, "0"));
        if whole.is_empty() || tenths.len() != 1 {
            return None;
        }
        let whole = Count::<u32>::parse(whole)?.checked_mul(10)?;
        whole.checked_add(Count::<u32>::parse(tenths)?)
    }

    fn print(value: &u32) -> String {
        match value % 10 {
            0 => format!("{}%", value / 10),
            tenths => format!("{}.{tenths}%", value / 10),
        }
    }
}

/// Values separated by commas; an empty text is an empty list.
#[derive(Debug)]
pub struct List<C>(PhantomData<C>);

impl<C: Codec> Codec for List<C> {
    type Value = Vec<C::Value>;
    const EXPECTED: &'static str = "a list with commas between its values";

    fn parse(text: &str) -> Option<Vec<C::Value>> {
        if text.is_empty() {
            return Some(Vec::new());
        }
        text.split(',').map(|item| C::parse(item.trim())).collect()
    }

    fn print(value: &Vec<C::Value>) -> String {
        let items: Vec<_> = value.iter().map(C::print).collect();
        items.join(", ")
    }
}

/// A value that may be absent, written as an empty text.
#[derive(Debug)]
pub struct Maybe<C>(PhantomData<C>);

impl<C: Codec> Codec for Maybe<C> {
    type Value = Option<C::Value>;
    const EXPECTED: &'static str = C::EXPECTED;

    fn parse(text: &str) -> Option<Option<C::Value>> {
        if text.is_empty() { Some(None) } else { C::parse(text).map(Some) }
    }

    fn print(value: &Option<C::Value>) -> String {
        value.as_ref().map(C::print).unwrap_or_default()
    }
}

/// A point in time of the form `2026-12-31T18:00:00Z`, kept in seconds since 1970.
#[derive(Debug)]
pub struct Moment;

impl Codec for Moment {
    type Value = u64;
    const EXPECTED: &'static str = "a time in UTC, such as `2026-12-31T18:00:00Z`";

    fn parse(text: &str) -> Option<u64> {
        let time = DateTime::parse_from_rfc3339(text).ok()?;
        u64::try_from(time.timestamp()).ok()
    }

    fn print(value: &u64) -> String {
        let time = i64::try_from(*value).ok().and_then(|s| DateTime::from_timestamp(s, 0));
        time.unwrap_or(DateTime::<Utc>::MAX_UTC).to_rfc3339_opts(SecondsFormat::Secs, true)
    }
}
