//! The field names of a summary, and the page.

use shallotflow_bench::load::outcomes::{Outcomes, Requests};
use shallotflow_bench::load::tally::{Completion, Tally};
use shallotflow_bench::load::token::Token;
use shallotflow_bench::report::{Summary, Violations, page};
use shallotflow_bench::run::{Findings, Sample};
use shallotflow_bench::testbed::Testbed;
use shallotflow_core::class::Class;
use shallotflow_core::outcome::Outcome;
use std::time::Duration;

#[test]
fn summary_fields_have_stable_names() {
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
fn violations_are_summed_and_described_by_name() {
    let violations = Violations { capacity: 2, at_most_once: 1, ..Violations::default() };
    assert_eq!(violations.total(), 3);
    assert_eq!(violations.describe(), "capacity 2, at-most-once 1");
}

#[test]
fn the_page_is_self_contained_and_marks_the_surge() {
    let testbed = Testbed::load("guild").expect("a valid testbed");
    let mut tally = Tally::default();
    tally.record_sent(Duration::ZERO, Duration::ZERO);
    tally.record_end(&Completion {
        token: Token::new(0, 1),
        due: Duration::ZERO,
        latency: Duration::from_millis(3),
        waited: Duration::ZERO,
        outcome: Outcome::Done,
        intact: true,
        in_time: true,
    });
    let requests = vec![Requests { kind: "a".into(), class: Class::Quick, tally }];
    let findings = Findings {
        summary: Summary { policy: "ours".into(), ..Summary::default() },
        outcomes: Outcomes { requests, ..Outcomes::default() },
        samples: vec![Sample::default(), Sample { completions: 1, evictions: 0 }],
    };
    let page = page(&testbed, Duration::from_secs(1), &[findings]).expect("a page");
    assert_eq!(page.matches("<svg").count(), 4);
    assert!(page.contains("surge") && page.contains("ours"));
    assert!(!page.contains("src=") && !page.contains("href="));
}
