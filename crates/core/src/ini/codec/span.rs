//! Durations.

use super::Codec;
use super::unit;
use std::time::Duration;

/// A duration in whole milliseconds, written with its unit.
#[derive(Debug)]
pub struct Span;

const UNITS: [(&str, u64); 4] = [("h", 3_600_000), ("m", 60_000), ("s", 1_000), ("ms", 1)];

impl Codec for Span {
    type Value = Duration;
    const EXPECTED: &'static str = "a duration with its unit, such as `500ms`, `5s` or `2m`";

    fn parse(text: &str) -> Option<Duration> {
        unit::parse(text, &UNITS).map(Duration::from_millis)
    }

    fn print(value: &Duration) -> String {
        unit::print(u64::try_from(value.as_millis()).unwrap_or(u64::MAX), &UNITS)
    }
}
