//! Names of faults, the jobs that some faults change, and linear regression.

use shallotflow_bench::fault::{Scenario, Scenarios, shape};
use shallotflow_bench::load::submission::Submissions;
use shallotflow_bench::slope::fit::Fit;
use shallotflow_bench::testbed::Testbed;
use shallotflow_core::class::Class;
use shallotflow_core::resources::Bundle;
use test_case::test_case;

const JOBS: usize = 400;

fn declared(scenario: Option<Scenario>, seed: u64) -> Vec<Bundle> {
    let mut testbed = Testbed::load("guild").expect("a valid testbed");
    if let Some(scenario) = scenario {
        shape::apply(scenario, &mut testbed);
    }
    let kind = testbed.kinds_of(Class::Batch).next().expect("a batch kind");
    let resources = |body: &str| {
        let body: serde_json::Value = serde_json::from_str(body).expect("JSON");
        serde_json::from_value(body["resources"].clone()).expect("resources")
    };
    let submissions = Submissions::new(kind, testbed.capacity, 0, seed).take(JOBS);
    submissions.map(|submission| resources(&submission.body)).collect()
}

#[test]
fn fault_names_round_trip_and_unknown_names_are_refused() {
    for scenario in Scenario::ALL {
        assert_eq!(scenario.as_str().parse(), Ok(scenario));
    }
    let pair: Scenarios = "entry-kill, store-down".parse().expect("known faults");
    assert_eq!(pair.0, [Scenario::EntryKill, Scenario::StoreDown]);
    let refused = "entry-kil".parse::<Scenarios>().expect_err("an unknown fault");
    assert!(refused.contains("entry-kil") && refused.contains("entry-kill"), "{refused}");
}

#[test]
fn jobs_are_the_same_for_the_same_seed() {
    assert_eq!(declared(Some(Scenario::WrongSizes), 3), declared(Some(Scenario::WrongSizes), 3));
    assert_ne!(declared(Some(Scenario::WrongSizes), 3), declared(Some(Scenario::WrongSizes), 4));
}

#[test_case(None, 0, 0; "without a fault")]
#[test_case(Some(Scenario::WrongSizes), JOBS, 0; "wrong sizes")]
#[test_case(Some(Scenario::ImpossibleJobs), JOBS / 10, JOBS / 10; "impossible jobs")]
fn some_faults_change_what_jobs_declare(
    scenario: Option<Scenario>,
    changed: usize,
    impossible: usize,
) {
    let testbed = Testbed::load("guild").expect("a valid testbed");
    let actual = testbed.kinds_of(Class::Batch).next().expect("a batch kind").resources;
    let declared = declared(scenario, 3);
    let count = |test: &dyn Fn(&Bundle) -> bool| declared.iter().filter(|need| test(need)).count();
    assert!(count(&|need| *need != actual).abs_diff(changed) <= JOBS / 20);
    assert!(count(&|need| !testbed.capacity.holds(need)).abs_diff(impossible) <= JOBS / 20);
}

#[test]
fn a_fit_finds_the_line_through_exact_points() {
    let points: Vec<_> = (0..5).map(|x| (f64::from(x), 3.0 + 2.0 * f64::from(x))).collect();
    let fit = Fit::through(&points);
    assert!((fit.base - 3.0).abs() < 1e-9 && (fit.slope - 2.0).abs() < 1e-9, "{fit:?}");
    assert!(Fit::through(&points[..1]).slope.abs() < 1e-9);
}
