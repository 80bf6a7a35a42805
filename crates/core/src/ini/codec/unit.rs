//! Numbers with units.

use super::Codec;
use super::count::Count;

/// Parses a number with one of `units`; returns it in the smallest unit.
pub(super) fn parse(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    units.iter().find_map(|(unit, factor)| {
        let digits = text.strip_suffix(unit)?.trim_end();
        Count::<u64>::parse(digits)?.checked_mul(*factor)
    })
}

/// Formats a number with the largest of `units` that divides it; `units` are in descending order.
pub(super) fn print(value: u64, units: &[(&str, u64)]) -> String {
    let divides = |factor: &u64| value != 0 && value.is_multiple_of(*factor);
    let smallest = units[units.len() - 1];
    let (unit, factor) = *units.iter().find(|(_, factor)| divides(factor)).unwrap_or(&smallest);
    format!("{}{unit}", value / factor)
}
