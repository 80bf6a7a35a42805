//! Detection of tasks that fit no worker observed so far.

use shallotflow_core::graph::{Spec, Step};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_policy::plan::Sizes;

fn bundle(millicores: u32, memory_mib: u32) -> Bundle {
    Bundle { millicores, memory_mib, ..Bundle::default() }
}

fn spec(steps: Vec<Step>) -> Spec {
    Spec { steps, ..Spec::default() }
}

#[test]
fn nothing_is_too_large_while_no_worker_was_observed() {
    let step = Step { count: 1, need: bundle(u32::MAX, u32::MAX), ..Step::default() };
    assert_eq!(Sizes::default().too_large("s", &spec(vec![step])), None);
}

#[test]
fn the_first_step_that_exceeds_every_worker_of_the_service_is_returned() {
    let service = Name::from("s");
    let mut sizes = Sizes::default();
    assert!(sizes.observe(&service, &bundle(1_000, 10)));
    assert!(sizes.observe(&service, &bundle(500, 20)));
    assert!(!sizes.observe(&service, &bundle(900, 20)));
    sizes.observe(&"other".into(), &bundle(9_000, 90));
    let fits = Step { count: 1, need: bundle(1_000, 20), ..Step::default() };
    let large = Step { count: 1, need: bundle(1_000, 21), ..Step::default() };
    assert_eq!(sizes.too_large("s", &spec(vec![fits.clone()])), None);
    assert_eq!(sizes.too_large("s", &spec(vec![fits, large.clone()])), Some(1));
    assert_eq!(sizes.too_large("other", &spec(vec![large])), None);
}

#[test]
fn a_best_effort_task_needs_only_memory() {
    let mut sizes = Sizes::default();
    sizes.observe(&"s".into(), &bundle(1_000, 10));
    let best_effort = |memory| Step {
        count: 1,
        need: bundle(5_000, memory),
        best_effort: true,
        ..Step::default()
    };
    assert_eq!(sizes.too_large("s", &spec(vec![best_effort(10)])), None);
    assert_eq!(sizes.too_large("s", &spec(vec![best_effort(11)])), Some(0));
}

#[test]
fn sizes_of_another_owner_are_merged() {
    let (mut sizes, mut other) = (Sizes::default(), Sizes::default());
    sizes.observe(&"s".into(), &bundle(1_000, 10));
    other.observe(&"s".into(), &bundle(2_000, 5));
    assert!(sizes.merge(&other));
    assert!(!sizes.merge(&other));
    let step = Step { count: 1, need: bundle(2_000, 10), ..Step::default() };
    assert_eq!(sizes.too_large("s", &spec(vec![step])), None);
}
