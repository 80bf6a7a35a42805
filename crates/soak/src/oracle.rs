//! The promises, checked over the book.

use crate::book::{Book, Order, Run};
use shallotflow_core::graph::{Id, State, Task};
use shallotflow_policy::plan::message::ExitReason;
use shallotflow_standin::runs::Transition;
use std::collections::BTreeMap;

/// Failed runs of one task after which its job has failed; as `shallotflow-entry` has it.
const ATTEMPTS: usize = 5;

/// Transition was promised and not kept, as far as the book goes.
pub fn check(book: &Book) -> Vec<String> {
    let mut broken = book.untrue.clone();
    for (task, runs) in &book.runs {
        let Some(order) = book.orders.get(&task.job) else {
            broken.push(format!("{task} started, and nobody handed its job in"));
            continue;
        };
        if !order.accepted && !order.uncertain {
            broken.push(format!("{task} started, and its job was refused"));
        }
        check_runs(task, runs, order, &mut broken);
        check_order(book, task, runs, order, &mut broken);
    }
    for (id, order) in &book.orders {
        check_shown(book, *id, order, &mut broken);
    }
    broken
}

fn check_runs(task: &Task, runs: &[Run], order: &Order, broken: &mut Vec<String>) {
    let lasting = order.spec.steps[usize::from(task.step)].lasting;
    for (place, run) in runs.iter().enumerate() {
        for other in runs.iter().skip(place + 1) {
            let (first, second) =
                if run.started <= other.started { (run, other) } else { (other, run) };
            // Where the first one has not ended, its worker may be paused and say so later.
            if first.ended.is_some_and(|(ended, _)| ended > second.started) {
                broken.push(format!(
                    "{task} ran twice at a time: run {} at worker {} and run {} at worker {}",
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
            broken.push(format!("{task} started as run {} after it was done", run.number));
        }
        if !lasting && failed >= ATTEMPTS {
            broken.push(format!("{task} started as run {} after {failed} failures", run.number));
        }
    }
}

/// When each task of a step was done first; `None` while one was not.
fn step_done(book: &Book, job: Id, step: u16, count: u32) -> Option<u64> {
    let mut last = 0;
    for index in 0..count {
        let runs = book.runs.get(&Task { job, occurrence: 0, step, index })?;
        let done = runs.iter().filter_map(|run| match run.ended {
            Some((at, Some(Transition::Ended(ExitReason::Done)))) => Some(at),
            _ => None,
        });
        last = last.max(done.min()?);
    }
    Some(last)
}

fn check_order(book: &Book, task: &Task, runs: &[Run], order: &Order, broken: &mut Vec<String>) {
    let Some(first) = runs.iter().map(|run| run.started).min() else { return };
    for after in &order.spec.steps[usize::from(task.step)].after {
        let count = order.spec.steps[usize::from(*after)].count;
        if step_done(book, task.job, *after, count).is_none_or(|done| done > first) {
            broken.push(format!("{task} started before step {after} was done"));
        }
    }
}

fn check_shown(book: &Book, id: Id, order: &Order, broken: &mut Vec<String>) {
    match order.shown {
        Some(State::Completed) => {
            for (step, number) in order.spec.steps.iter().zip(0..) {
                if step_done(book, id, number, step.count).is_none() {
                    broken.push(format!("job {id} is completed, and step {number} is not done"));
                }
            }
        }
        Some(State::Failed) => {
            let mut failures: BTreeMap<Task, usize> = BTreeMap::new();
            for (task, runs) in book.runs.iter().filter(|(task, _)| task.job == id) {
                let failed = |run: &&Run| {
                    matches!(run.ended, Some((_, Some(Transition::Ended(ExitReason::Failed)))))
                };
                failures.insert(*task, runs.iter().filter(failed).count());
            }
            if failures.values().all(|failures| *failures < ATTEMPTS) {
                broken.push(format!("job {id} has failed, and none of its tasks did so often"));
            }
        }
        _ => {}
    }
}
