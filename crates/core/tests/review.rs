//! The review of a configuration: exceptions without effect, contradictions and differences.

use shallotflow_core::fleet::Config;
use shallotflow_core::fleet::review::{Change, Fleet, Kind, Worker, differences, review};
use std::time::Duration;
use test_case::test_case;

/// The expiry `2026-12-31T18:00:00Z`.
const NOW_UNIX_S: u64 = 1_798_740_000;

fn parse(text: &str) -> Config {
    Config::parse("fleet.ini", text).expect("a valid configuration")
}

fn worker(name: &str, domain: &str, kind: &str) -> Worker {
    Worker { name: name.into(), domain: domain.into(), kinds: vec![kind.into()], slots: 4 }
}

/// Two workers in two domains that serve different kinds.
fn fleet() -> Fleet {
    let workers = vec![worker("w1", "d1", "preview"), worker("w2", "d2", "render")];
    Fleet { workers, longest_deadline: Duration::from_secs(60) }
}

/// The section, kind and key of each finding.
fn findings(text: &str, fleet: &Fleet) -> Vec<(String, Kind, Option<String>)> {
    let findings = review(&parse(text), fleet, NOW_UNIX_S).into_iter();
    findings
        .map(|found| (found.section.to_string(), found.kind, found.key.map(|key| key.to_string())))
        .collect()
}

#[test_case("[exception x]\ndomain = d1\nreserve = 50%\nexpires = 2026-12-31T18:00:00Z", Kind::Expired, None; "an expired exception")]
#[test_case("[exception x]\ndomain = d3\nreserve = 50%", Kind::Unmatched, None; "an unknown domain")]
#[test_case("[exception x]\nworker = w3\nreserve = 50%", Kind::Unmatched, None; "an unknown worker")]
#[test_case("[exception x]\ndomain = d2\nworker = w1\nreserve = 50%", Kind::Unmatched, None; "a worker of another domain")]
#[test_case("[exception x]\nkind = print\npriority = 7", Kind::Unmatched, None; "an unknown kind")]
#[test_case("[exception x]\ndomain = d1\nreserve = 25%", Kind::Redundant, Some("reserve"); "a value of the defaults")]
#[test_case("[exception x]\ndomain = d1\nreserve = 100%", Kind::Contradiction, Some("reserve"); "a whole worker reserved beside batch work")]
#[test_case("[exception x]\nkind = render\ncaller_share = 20%", Kind::Contradiction, Some("caller_share"); "a share below one slot of the workers of the kind")]
#[test_case("[exception x]\ncaller = c\nquick_deadline = 61s", Kind::Contradiction, Some("quick_deadline"); "a deadline above that of entries")]
fn an_exception_that_is_probably_not_intended_is_found(
    section: &str,
    kind: Kind,
    key: Option<&str>,
) {
    let found = findings(&format!("{section}\nreason = r\n"), &fleet());
    assert_eq!(found, [("exception x".to_owned(), kind, key.map(str::to_owned))]);
}

#[test_case("reserve = 100%", "reserve"; "a whole worker reserved beside batch work")]
#[test_case("caller_share = 10%", "caller_share"; "a share below one slot")]
#[test_case("quick_deadline = 61s", "quick_deadline"; "a deadline above that of entries")]
fn contradictory_defaults_are_found(line: &str, key: &str) {
    let found = findings(&format!("[defaults]\n{line}\n"), &fleet());
    assert_eq!(found, [("defaults".to_owned(), Kind::Contradiction, Some(key.to_owned()))]);
}

#[test]
fn a_key_that_a_later_exception_always_overrides_is_found() {
    let first = "[exception x]\ndomain = d1\nreserve = 50%\nbatch = false\nreason = r\n";
    let later = "[exception y]\ndomain = d1\nreserve = 60%\nreason = r\n";
    let found = findings(&format!("{first}{later}"), &fleet());
    let overridden = ("exception x".to_owned(), Kind::Overridden, Some("reserve".to_owned()));
    assert_eq!(found, [overridden]);
    // One that expires earlier leaves the first in force afterwards.
    let expiring = format!("{first}{later}expires = 2027-12-31T18:00:00Z\n");
    assert_eq!(findings(&expiring, &fleet()), []);
}

#[test]
fn a_value_is_redundant_only_if_nothing_else_could_hold_without_it() {
    let domain = "[exception d]\ndomain = d1\nreserve = 50%\nreason = r\n";
    let same = "[exception x]\ndomain = d1\nworker = w1\nreserve = 50%\nreason = r\n";
    let redundant = ("exception x".to_owned(), Kind::Redundant, Some("reserve".to_owned()));
    assert_eq!(findings(&format!("{domain}{same}"), &fleet()), [redundant]);
    // It takes the worker back from the exception of its domain.
    let back = "[exception x]\nworker = w1\nreserve = 25%\nreason = r\n";
    assert_eq!(findings(&format!("{domain}{back}"), &fleet()), []);
}

#[test]
fn nothing_is_found_in_intended_configurations() {
    let text = "[defaults]\nreserve = 100%\nbatch = false\n\
                [exception x]\ndomain = anywhere\npriority = 7\nreason = r\n\
                [exception y]\ndomain = d1\ndrain = true\nreason = r\n";
    assert_eq!(findings(text, &fleet()), []);
    // Nothing is said about workers that are not known.
    let unknown = "[exception x]\ndomain = d9\nreserve = 50%\nreason = r\n";
    assert_eq!(findings(unknown, &Fleet::default()), []);
}

#[test]
fn differences_name_values_authors_and_reasons() {
    let old = "[exception a]\nworker = w1\nbatch = false\nreason = r\nauthor = anna\n\
               [exception b]\nworker = w1\nreserve = 50%\nreason = s\n\
               [exception c]\nworker = w1\nwatch_cap = 1\nreason = t\n";
    let new = "[defaults]\nreserve = 30%\n\
               [exception b]\nworker = w1\nreserve = 60%\nreason = s\nauthor = ben\n\
               [exception c]\nworker = w1\nwatch_cap = 1\nreason = t\n\
               [exception d]\nworker = w2\nbatch = false\nreason = u\n";
    let found = differences(&parse(old), &parse(new));
    let sections: Vec<_> = found.iter().map(|one| (&*one.section, one.change)).collect();
    let expected = [
        ("defaults", Change::Changed),
        ("exception a", Change::Removed),
        ("exception b", Change::Changed),
        ("exception d", Change::Added),
    ];
    assert_eq!(sections, expected);
    assert_eq!(
        (&found[0].old[..], &found[0].new[..]),
        (&["reserve = 25%".to_owned()][..], &["reserve = 30%".to_owned()][..])
    );
    assert_eq!(found[1].author.as_deref(), Some("anna"));
    assert_eq!(found[2].new, ["author = ben", "reserve = 60%"]);
    assert_eq!(found[3].reason.as_deref(), Some("u"));
    assert_eq!(differences(&parse(new), &parse(new)), []);
}
