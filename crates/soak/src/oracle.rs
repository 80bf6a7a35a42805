//! Checks the guarantees against the history.

use crate::history::{Evacuation, History, Job, Run};
use crate::testbed;
use shallotflow_core::graph::{Id, State, Task};
use shallotflow_policy::plan::message::ExitReason;
use shallotflow_standin::runs::Transition;
use std::collections::BTreeMap;

/// Number of failed runs of one task after which its job fails; must match `shallotflow-entry`.
const MAX_FAILURES: usize = 5;

/// Returns descriptions of the guarantees that the history violates.
pub fn check(history: &History) -> Vec<String> {
    let mut violations = history.contradictions.clone();
    for (task, runs) in &history.runs {
        let Some(job) = history.jobs.get(&task.job) else {
            violations.push(format!("{task} started, and its job was never submitted"));
            continue;
        };
        if !job.accepted && !job.uncertain {
            violations.push(format!("{task} started, and its job was refused"));
        }
        check_runs(task, runs, job, &mut violations);
        check_evacuations(history, task, runs, &mut violations);
        check_dependencies(history, task, runs, job, &mut violations);
    }
    for (id, job) in &history.jobs {
        check_final_state(history, *id, job, &mut violations);
    }
    violations
}

fn check_runs(task: &Task, runs: &[Run], job: &Job, violations: &mut Vec<String>) {
    let long_running = job.spec.steps[usize::from(task.step)].long_running;
    for (index, run) in runs.iter().enumerate() {
        for other in runs.iter().skip(index + 1) {
            let (first, second) =
                if run.started <= other.started { (run, other) } else { (other, run) };
            // If the end of the first run is unknown, its worker may be paused and report it later.
            if first.ended.is_some_and(|(ended, _)| ended > second.started) {
                violations.push(format!(
                    "{task} ran twice at the same time: run {} at worker {} and run {} at worker {}",
                    first.number, first.worker, second.number, second.worker
                ));
            }
        }
        let before = runs.iter().filter(|other| {
            other.confirmed && other.ended.is_some_and(|(ended, _)| ended <= run.started)
        });
        let (mut done, mut failed) = (0, 0);
        for other in before {
            match other.ended {
                Some((_, Some(Transition::Ended(ExitReason::Done)))) => done += 1,
                Some((_, Some(Transition::Ended(ExitReason::Failed)))) => failed += 1,
                _ => {}
            }
        }
        if done > 0 {
            violations.push(format!("{task} started as run {} after it was done", run.number));
        }
        if !long_running && failed >= MAX_FAILURES {
            violations
                .push(format!("{task} started as run {} after {failed} failures", run.number));
        }
    }
}

fn check_evacuations(history: &History, task: &Task, runs: &[Run], violations: &mut Vec<String>) {
    for run in runs {
        let domain = testbed::domain_of(run.worker);
        let mut evacuations = history.evacuations.iter();
        let forbids = |evacuation: &&Evacuation| {
            evacuation.domain == domain && evacuation.forbids(run.started)
        };
        if let Some(evacuation) = evacuations.find(forbids) {
            let after_ms = (run.started - evacuation.confirmed) / 1_000;
            violations.push(format!(
                "{task} started as run {} at worker {} of {}, {after_ms} ms after its evacuation",
                run.number,
                run.worker,
                testbed::domain_name(domain)
            ));
        }
    }
}

/// The time by which every task of a step had been done once; `None` if a task was never done.
fn step_done_at(history: &History, job: Id, step: u16, count: u32) -> Option<u64> {
    let mut last = 0;
    for index in 0..count {
        let runs = history.runs.get(&Task { job, occurrence: 0, step, index })?;
        let done = runs.iter().filter_map(|run| match run.ended {
            Some((at, Some(Transition::Ended(ExitReason::Done)))) => Some(at),
            _ => None,
        });
        last = last.max(done.min()?);
    }
    Some(last)
}

fn check_dependencies(
    history: &History,
    task: &Task,
    runs: &[Run],
    job: &Job,
    violations: &mut Vec<String>,
) {
    let Some(first) = runs.iter().map(|run| run.started).min() else { return };
    for after in &job.spec.steps[usize::from(task.step)].after {
        let count = job.spec.steps[usize::from(*after)].count;
        if step_done_at(history, task.job, *after, count).is_none_or(|done| done > first) {
            violations.push(format!("{task} started before step {after} was done"));
        }
    }
}

fn check_final_state(history: &History, id: Id, job: &Job, violations: &mut Vec<String>) {
    match job.last_state {
        Some(State::Completed) => {
            for (step, number) in job.spec.steps.iter().zip(0..) {
                if step_done_at(history, id, number, step.count).is_none() {
                    violations
                        .push(format!("job {id} is completed, and step {number} is not done"));
                }
            }
        }
        Some(State::Failed) => {
            let mut failures: BTreeMap<Task, usize> = BTreeMap::new();
            for (task, runs) in history.runs.iter().filter(|(task, _)| task.job == id) {
                let failed = |run: &&Run| {
                    matches!(run.ended, Some((_, Some(Transition::Ended(ExitReason::Failed)))))
                };
                failures.insert(*task, runs.iter().filter(failed).count());
            }
            if failures.values().all(|failures| *failures < MAX_FAILURES) {
                violations.push(format!(
                    "job {id} has failed, but none of its tasks failed often enough"
                ));
            }
        }
        _ => {}
    }
}
