//! Refusal of jobs that could not end in time, and the return of their callers.

use super::harness::{Harness, id, job, step};
use shallotflow_core::graph::{Job, Step};
use shallotflow_core::name::Name;
use shallotflow_policy::plan::{Backlog, Promises, Settings};
use std::time::Duration;

const ENTRIES: u64 = 1;
/// Share of the callers that return in time of which the jobs are accepted then.
const SERVED_SHARE: f64 = 0.9;

fn best_effort(queue: &str, tasks: u32) -> Job {
    let mut job = job(vec![Step { best_effort: true, ..step(tasks, 1_000) }]);
    job.queue.name = Name::from(queue);
    (job.queue.stretch, job.queue.target_ms) = (2.0, 1_000);
    job
}

/// Returns the backlog of an owner with one worker of ten processors and `jobs` jobs of 70
/// processor-seconds in the queue "heavy"; three objectives of such a job are nine seconds.
fn backlog(jobs: u64) -> (Backlog, Harness) {
    let mut harness = Harness::new(1);
    for number in 0..jobs {
        harness.table.accept(id(number), best_effort("heavy", 70), true, harness.now);
    }
    (harness.table.backlog(), harness)
}

/// Returns settings with refusals, which are off by default.
fn refusing() -> Settings {
    Settings { refuses_jobs: true, learns_durations: true, ..Settings::default() }
}

#[test]
fn a_job_is_refused_only_if_it_cannot_end_within_three_objectives() {
    let settings = refusing();
    let refused = |jobs: u64| {
        let (backlog, _) = backlog(jobs);
        backlog.excess(&best_effort("heavy", 1), 0, &settings).is_some()
    };
    assert!(!refused(0));
    assert!(!refused(1), "the backlog is done before three objectives have passed");
    assert!(refused(2));
}

#[test]
fn jobs_without_a_backlog_of_their_own_are_not_refused() {
    let settings = refusing();
    let (backlog, _) = backlog(9);
    assert_eq!(backlog.excess(&best_effort("other", 1), 0, &settings), None, "another queue");
    let mut without_objective = best_effort("heavy", 1);
    without_objective.queue.target_ms = 0;
    assert_eq!(backlog.excess(&without_objective, 0, &settings), None, "no objective");
    let reserving = job(vec![step(1, 1_000)]);
    assert_eq!(backlog.excess(&reserving, 0, &settings), None, "no best-effort step");
    assert_eq!(Backlog::default().excess(&best_effort("heavy", 1), 0, &settings), None);
}

#[test]
fn the_backlog_is_rebuilt_from_the_jobs_after_a_takeover() {
    let (before, _) = backlog(3);
    let mut next = Harness::owner(9, 1, Vec::new());
    next.report_all();
    for number in 0..3 {
        next.table.accept(id(number), best_effort("heavy", 70), false, next.now);
    }
    assert_eq!(next.table.backlog().longest_drain(), before.longest_drain());
    assert_eq!(next.table.backlog().epoch, 9);
}

#[test]
fn callers_that_return_in_time_are_served_one_after_the_other_and_before_newcomers() {
    let settings = refusing();
    let (backlog, harness) = backlog(3);
    let mut promises = Promises::default();
    let mut delays = Vec::new();
    for number in 100..120 {
        let job = best_effort("heavy", 10);
        let retry = promises.refuse(&backlog, id(number), &job, ENTRIES, &settings, harness.now);
        delays.push(retry.expect("a refusal"));
    }
    assert!(delays.is_sorted(), "{delays:?}");
    assert!(delays.iter().all(|delay| delay % 1_000 == 0), "whole seconds: {delays:?}");
    let last = delays.last().expect("some");
    assert!(*last >= delays[0] + 15_000, "spread over the work that was refused: {delays:?}");
    // The backlog has drained to just below the limit when the first caller returns.
    let (drained, _) = self::backlog(1);
    let mut served = 0;
    for (number, delay) in (100..120).zip(&delays) {
        let now = harness.now.after(Duration::from_millis(*delay));
        let job = best_effort("heavy", 10);
        let accepted =
            promises.refuse(&drained, id(number), &job, ENTRIES, &settings, now).is_none();
        served += usize::from(accepted);
    }
    assert!(served as f64 >= SERVED_SHARE * delays.len() as f64, "{served} served");
}

#[test]
fn a_newcomer_waits_behind_the_callers_that_were_told_to_return() {
    let settings = refusing();
    let (full, harness) = backlog(3);
    let mut promises = Promises::default();
    let mut last = 0;
    for number in 100..110 {
        let job = best_effort("heavy", 30);
        let retry = promises.refuse(&full, id(number), &job, ENTRIES, &settings, harness.now);
        last = retry.expect("a refusal");
    }
    let (drained, _) = backlog(1);
    let now = harness.now.after(Duration::from_millis(1_000));
    let job = best_effort("heavy", 30);
    let newcomer = promises.refuse(&drained, id(200), &job, ENTRIES, &settings, now);
    assert!(newcomer.is_some(), "the places of {last} ms and before are kept");
    // A caller that does not return loses its place.
    let later = now.after(Duration::from_millis(last)).after(settings.promise_grace * 2);
    let newcomer = promises.refuse(&drained, id(201), &job, ENTRIES, &settings, later);
    assert_eq!(newcomer, None);
}

#[test]
fn a_caller_that_returns_early_is_told_the_rest_of_its_delay() {
    let settings = refusing();
    let (backlog, harness) = backlog(4);
    let mut promises = Promises::default();
    let job = best_effort("heavy", 10);
    let first = promises.refuse(&backlog, id(100), &job, ENTRIES, &settings, harness.now);
    let first = first.expect("a refusal");
    let early = harness.now.after(Duration::from_millis(first / 2));
    let second = promises.refuse(&backlog, id(100), &job, ENTRIES, &settings, early);
    assert!(second.expect("a refusal") <= first, "{first} ms before");
}
