//! The names of the figures.

use shallotflow_bench::report::{Summary, Violations};

#[test]
fn the_figures_have_the_names_that_readers_rely_on() {
    let json = serde_json::to_value(Summary::default()).expect("JSON");
    for key in ["sent", "done", "not_run", "unknown", "p50_ms", "p99_ms", "p999_ms"] {
        assert!(json["quick"][key].is_number(), "quick.{key}");
    }
    for key in ["submitted", "done", "unknown", "duplicates", "per_second"] {
        assert!(json["batch"][key].is_number(), "batch.{key}");
    }
    assert!(json["evictions"].is_number());
    assert!(json["head_of_line_ms_p99"].is_number());
    for (name, _) in Violations::default().by_name() {
        assert_eq!(json["violations"][name], 0, "{name}");
    }
}

#[test]
fn violations_add_up_and_are_named() {
    let violations = Violations { capacity: 2, at_most_once: 1, ..Violations::default() };
    assert_eq!(violations.total(), 3);
    assert_eq!(violations.broken(), "capacity 2, at-most-once 1");
}
