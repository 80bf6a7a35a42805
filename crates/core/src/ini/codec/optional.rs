//! Optional values.

use super::Codec;
use std::marker::PhantomData;

/// An optional value; an empty text means `None`.
#[derive(Debug)]
pub struct Optional<C>(PhantomData<C>);

impl<C: Codec> Codec for Optional<C> {
    type Value = Option<C::Value>;
    const EXPECTED: &'static str = C::EXPECTED;

    fn parse(text: &str) -> Option<Option<C::Value>> {
        if text.is_empty() { Some(None) } else { C::parse(text).map(Some) }
    }

    fn print(value: &Option<C::Value>) -> String {
        value.as_ref().map(C::print).unwrap_or_default()
    }
}
