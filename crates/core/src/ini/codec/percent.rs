//! Percentages.

use super::Codec;
use super::count::Count;

/// A fraction, stored in thousandths and written as a percentage.
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
