//! Parsing and validation of settings files, with the exact error messages.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use shallotflow_core::ini::Document;
use shallotflow_core::settings::{agent, entry, standin};
use std::time::Duration;
use test_case::test_case;

#[test]
fn parses_every_type_of_value() {
    let text = "[entry]\r\n# a comment\r\n name = e7 \r\nstore = 10.0.0.1:2379, 10.0.0.2:2379\n\
                beat = 250ms\nowner_lease=1m\n[limits]\nhead_bytes = 8KiB\n";
    let settings = entry::Settings::parse("entry.ini", text).expect("valid settings");
    assert_eq!(&*settings.name, "e7");
    assert_eq!(settings.store.len(), 2);
    assert_eq!(settings.beat, Duration::from_millis(250));
    assert_eq!(settings.owner_lease, Duration::from_secs(60));
    assert_eq!(settings.limits.head_bytes, 8_192);
    assert_eq!(settings.drain, entry::Settings::default().drain);
}

#[test_case(
    "[entry]\n\nbeet = 5s",
    "entry.ini:3: key `beet` is unknown in section `entry`; did you mean `beat`?"
)]
#[test_case("[enrty]", "entry.ini:1: section `enrty` is unknown; use one of `entry`, `limits`")]
#[test_case(
    "beat = 5s",
    "entry.ini:1: key `beat` is outside of any section; move it below a `[section]` header"
)]
#[test_case(
    "[entry]\nbeat = 5",
    "entry.ini:2: `5` is not a duration with its unit, such as `500ms`, `5s` or `2m`; correct the value of `beat`"
)]
#[test_case(
    "[entry]\nbeat = 5h",
    "entry.ini:2: `5h` is out of range for `beat`; use a value from 10ms to 1m"
)]
#[test_case(
    "[entry]\nbeat = 99999999999999999999s",
    "entry.ini:2: `99999999999999999999s` is not a duration with its unit, such as `500ms`, `5s` or `2m`; correct the value of `beat`"
)]
#[test_case(
    "[entry]\nledgers = -1",
    "entry.ini:2: `-1` is not a whole number; correct the value of `ledgers`"
)]
#[test_case(
    "[entry]\nbeat = 1s\nbeat = 2s",
    "entry.ini:3: key `beat` is already set at line 2; remove one of the two"
)]
#[test_case(
    "[entry]\n[entry]",
    "entry.ini:2: section `entry` is already defined at line 1; merge the two"
)]
#[test_case("[entry\n", "entry.ini:1: `[entry` is not a section header; write it as `[name]`")]
#[test_case(
    "[entry]\nbeat",
    "entry.ini:2: `beat` is neither a header nor a key; write it as `key = value`"
)]
#[test_case(
    "[entry]\nname = a b",
    "entry.ini:2: `a b` is not a name of at most 100 letters, digits, `-`, `_` and `.`; correct the value of `name`"
)]
#[test_case(
    "[entry]\nbeat = 4s\ntask_lease = 5s",
    "entry.ini:3: `task_lease` of 5s is less than twice the `beat` of 4s; raise it, or lower `beat`"
)]
#[test_case(
    "[entry]\nlog = verbose",
    "entry.ini:2: `verbose` is not a log filter, such as `info` or `info,shallotflow_entry=debug`; correct the value of `log`"
)]
#[test_case(
    "[entry]\nbeat = 1s",
    "entry.ini:1: section `entry` has no `name`; add a line `name = …`"
)]
#[test_case("", "entry.ini:1: section `entry` has no `name`; add a line `name = …`"; "an empty file")]
#[test_case("[entry]\nname = e\rbeat = 5s", "entry.ini:2: the text has the control character '\\r'; save it with plain line feeds"; "a lone carriage return")]
fn rejects_invalid_settings_with_line_and_remedy(text: &str, message: &str) {
    let error = entry::Settings::parse("entry.ini", text).expect_err("invalid settings");
    assert_eq!(error.to_string(), message);
}

#[test]
fn error_for_a_missing_file_contains_its_name() {
    let error = agent::Settings::load("no-such.ini".as_ref()).expect_err("no such file");
    assert!(error.to_string().starts_with("no-such.ini:0: the file cannot be read"), "{error}");
}

#[test]
fn formatted_settings_parse_to_the_same_values() {
    let entry = entry::Settings::default();
    let printed = entry::Settings::TABLE.print(&entry);
    assert_eq!(entry::Settings::parse("printed", &printed).expect("printed settings"), entry);
    let agent =
        agent::Settings { entries: vec![([10, 0, 0, 1], 7001).into()], ..Default::default() };
    let printed = agent::Settings::TABLE.print(&agent);
    let missing = agent::Settings::parse("agent.ini", &printed.replace("target", "; target"));
    let message = missing.expect_err("no target").to_string();
    assert_eq!(message, "agent.ini:1: section `agent` has no `target`; add a line `target = …`");
    assert_eq!(agent::Settings::parse("printed", &printed).expect("printed settings"), agent);
    let standin = standin::Settings { kinds: vec!["a".into(), "b".into()], ..Default::default() };
    let printed = standin::Settings::TABLE.print(&standin);
    assert_eq!(standin::Settings::parse("printed", &printed).expect("printed settings"), standin);
}

#[test]
fn sample_files_are_valid() {
    let samples = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/samples");
    entry::Settings::load(&samples.join("entry.ini")).expect("a valid sample");
    agent::Settings::load(&samples.join("agent.ini")).expect("a valid sample");
    standin::Settings::load(&samples.join("standin.ini")).expect("a valid sample");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(7), failure_persistence: None, cases: 512, ..Default::default()
    })]

    #[test]
    fn arbitrary_text_never_panics(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let text = String::from_utf8_lossy(&bytes);
        let _ = Document::parse("any", &text);
        let _ = entry::Settings::parse("any", &format!("[limits]\nbody_bytes = {text}"));
        let _ = standin::Settings::parse("any", &format!("[standin]\nkinds = {text}"));
    }
}
