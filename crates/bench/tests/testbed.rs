//! The embedded testbeds, and the errors of invalid ones.

use shallotflow_bench::testbed::Testbed;
use shallotflow_core::class::Class;
use std::time::Duration;
use test_case::test_case;

#[test_case("guild", 4, 64_000)]
#[test_case("merkjagerd", 3, 32_000)]
fn embedded_testbeds_have_the_expected_sizes(name: &str, domains: usize, millicores: u32) {
    let testbed = Testbed::load(name).expect("a valid testbed");
    assert_eq!(&*testbed.site.name, name);
    assert_eq!(testbed.site.workers, 11);
    assert_eq!(testbed.site.domains.len(), domains);
    assert_eq!(testbed.capacity.slots, 8);
    assert_eq!(testbed.capacity.connections, 64);
    assert_eq!(testbed.capacity.millicores, millicores);
    for class in [Class::Quick, Class::Watch, Class::Batch] {
        assert_eq!(testbed.kinds_of(class).count(), 1, "{class}");
    }
}

#[test_case("[floor]\nworkrs = 3", 2, "workrs"; "an unknown key")]
#[test_case("[floors]\nworkers = 3", 1, "floors"; "an unknown section")]
#[test_case("[floor]\nworkers = 0", 2, "out of range"; "a value out of range")]
#[test_case("[kind a]\nmedian = 10", 2, "duration"; "a duration without its unit")]
#[test_case("[kind a]\nclass = slow", 2, "`quick`, `watch` or `batch`"; "an unknown class")]
#[test_case("[kind a]\nslots = 9\n[capacity]\nslots = 8", 1, "kind `a`"; "a kind that never fits")]
#[test_case("[kind a]\n[disturbance a]\nb = 5%", 1, "unknown kind"; "an unknown neighbor")]
fn errors_name_the_file_and_the_line(text: &str, line: u32, named: &str) {
    let error = Testbed::parse("mine.ini", text).expect_err("an invalid testbed");
    assert_eq!(&*error.file, "mine.ini");
    assert_eq!(error.line, line, "{error}");
    assert!(error.to_string().contains(named), "{error}");
}

#[test]
fn the_surge_rises_and_falls_as_configured() {
    let text = "[surge]\nstart = 50%\nrise = 1s\nlength = 20%\nfactor = 5";
    let surge = Testbed::parse("mine.ini", text).expect("a valid testbed").surge;
    let run = Duration::from_secs(10);
    let at = |ms| surge.multiple(Duration::from_millis(ms), run);
    assert!((at(4_999) - 1.0).abs() < 1e-9);
    assert!((at(5_500) - 3.0).abs() < 1e-9);
    assert!((at(6_500) - 5.0).abs() < 1e-9);
    assert!((at(7_000) - 1.0).abs() < 1e-9);
}
