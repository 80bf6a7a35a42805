//! Sizes in bytes.

use super::Codec;
use super::unit;
use std::marker::PhantomData;

/// A size in bytes of type `T`, written with a binary unit.
#[derive(Debug)]
pub struct Size<T>(PhantomData<T>);

const UNITS: [(&str, u64); 4] = [("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

impl<T: TryFrom<u64> + TryInto<u64> + Copy> Codec for Size<T> {
    type Value = T;
    const EXPECTED: &'static str = "a size with its unit, such as `512B`, `16KiB` or `1MiB`";

    fn parse(text: &str) -> Option<T> {
        T::try_from(unit::parse(text, &UNITS)?).ok()
    }

    fn print(value: &T) -> String {
        let bytes = (*value).try_into().unwrap_or(u64::MAX);
        unit::print(bytes, &UNITS)
    }
}
