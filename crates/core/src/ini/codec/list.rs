//! Comma-separated lists.

use super::Codec;
use std::marker::PhantomData;

/// Comma-separated values; an empty text is an empty list.
#[derive(Debug)]
pub struct List<C>(PhantomData<C>);

impl<C: Codec> Codec for List<C> {
    type Value = Vec<C::Value>;
    const EXPECTED: &'static str = "a comma-separated list";

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
