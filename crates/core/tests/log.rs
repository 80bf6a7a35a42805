//! Log filters.

use shallotflow_core::log::{Filter, Level};
use test_case::test_case;

#[test_case("info", Level::Debug, "shallotflow_entry", false)]
#[test_case("info,shallotflow_entry=debug", Level::Debug, "shallotflow_entry::batch", true)]
#[test_case("info,shallotflow_entry=debug", Level::Debug, "shallotflow_entry_x", false)]
#[test_case("off,a=trace,a::b=error", Level::Warn, "a::b::c", false; "longest target")]
#[test_case("off", Level::Critical, "a", false; "off")]
fn filters_by_level_and_target(text: &str, level: Level, target: &str, allowed: bool) {
    let filter: Filter = text.parse().expect("a valid filter");
    assert_eq!(filter.allows(level, target), allowed);
}
