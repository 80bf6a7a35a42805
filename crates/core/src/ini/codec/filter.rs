//! Log filters.

use super::Codec;
use crate::log;
use crate::name::Name;

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
