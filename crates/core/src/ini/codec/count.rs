//! Unsigned integers.

use super::Codec;
use std::marker::PhantomData;
use std::str::FromStr;

/// An unsigned integer of type `T`.
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
