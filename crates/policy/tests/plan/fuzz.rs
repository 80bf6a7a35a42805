//! Random jobs, ends, failures, restarts and capacities; after each step, the state that the table
//! keeps up to date equals one rebuilt from its jobs and workers, and no start has brought a worker over
//! its capacity.

use super::harness::{Harness, id, job, step};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shallotflow_core::graph::{Id, Job, Step, Task};
use shallotflow_core::name::Name;
use shallotflow_policy::plan::message::{ExitReason, Status};
use std::collections::BTreeMap;
use std::time::Duration;

pub(crate) const SEEDS: u64 = 60;
pub(crate) const STEPS: usize = 120;
const WORKERS: usize = 7;

fn random_job(rng: &mut SmallRng) -> Job {
    let mut steps = Vec::new();
    for number in 0..rng.random_range(1..=3_u16) {
        let mut step = step(rng.random_range(1..=6), rng.random_range(200..=6_000));
        step.estimate_ms = rng.random_range(100..=3_000);
        if number > 0 {
            step.after = vec![number - 1];
        }
        match rng.random_range(0..8) {
            0 => step.gang = true,
            1 => step.per_worker = rng.random_range(1..=2),
            2 => step.required_label = Some(Name::from("label-1")),
            3 => step.data_rack = Some(Name::from("rack-1")),
            4 => (step.target_ms, step.long_running) = (20, true),
            5 => step.best_effort = true,
            _ => {}
        }
        if step.best_effort || step.target_ms > 0 {
            step.image = Some(Name::from(["red", "blue", "green"][rng.random_range(0..3)]));
        }
        steps.push(Step { same_rack: rng.random_bool(0.1), ..step });
    }
    let mut job = job(steps);
    job.queue.name = Name::from(["renders", "quotes"][rng.random_range(0..2)]);
    job.queue.priority = rng.random_range(0..2);
    (job.queue.stretch, job.queue.target_ms) = (1.5, 250);
    job
}

/// Returns workers of two sizes with different labels and racks.
pub(crate) fn varied_workers() -> Harness {
    let mut harness = Harness::new(WORKERS);
    for (number, worker) in harness.workers.values_mut().enumerate() {
        worker.labels = vec![Name::from(format!("label-{}", number % 2))];
        worker.rack = Some(Name::from(format!("rack-{}", number % 3)));
        worker.millicores = [10_000, 15_000][number % 2];
    }
    harness.report_all();
    harness
}

fn random_task(harness: &Harness, rng: &mut SmallRng) -> Option<Task> {
    let running = harness.running();
    (!running.is_empty()).then(|| running[rng.random_range(0..running.len())])
}

/// Applies one random event and a round of reports.
pub(crate) fn change(harness: &mut Harness, rng: &mut SmallRng, next_job: &mut u64) {
    match rng.random_range(0..17) {
        0..5 => {
            *next_job += 1;
            harness.table.accept(id(*next_job), random_job(rng), true, harness.now);
        }
        5..9 => {
            for _ in 0..rng.random_range(1..=6) {
                if let Some(task) = random_task(harness, rng) {
                    harness.end(task, ExitReason::Done);
                }
            }
        }
        9 => {
            if let Some(task) = random_task(harness, rng) {
                harness.end(task, ExitReason::Failed);
            }
        }
        10 => harness.table.cancel(id(rng.random_range(1..=(*next_job).max(1))), harness.now),
        11 => {
            let number = rng.random_range(0..WORKERS);
            let worker = harness.workers.values_mut().nth(number).expect("a worker");
            if rng.random_bool(0.5) { worker.restart_worker() } else { worker.restart_agent() }
        }
        12 => {
            let number = rng.random_range(0..WORKERS);
            let worker = harness.workers.values_mut().nth(number).expect("a worker");
            worker.status = match worker.status {
                Status::Ready => Status::Draining { remaining_ms: 1_000 },
                _ => Status::Ready,
            };
        }
        13 => harness.wait(Duration::from_millis(rng.random_range(1..=9_000))),
        14 => harness.record(),
        15 => {
            let millicores = rng.random_range(0..=15_000);
            harness.worker(rng.random_range(0..WORKERS)).resize(millicores);
        }
        _ => harness.wait(Duration::from_millis(rng.random_range(1..=200))),
    }
    harness.tick();
    if rng.random_bool(0.7) {
        harness.report(rng.random_range(0..WORKERS));
    }
    if rng.random_bool(0.5) {
        harness.report_all();
        harness.execute_orders();
    }
}

#[test]
fn the_state_kept_by_changes_equals_one_rebuilt_from_nothing() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut harness = varied_workers();
        let mut next_job = 0;
        for number in 0..STEPS {
            change(&mut harness, &mut rng, &mut next_job);
            harness.table.expire(harness.now, harness.now.as_millis());
            let audit = harness.table.audit(harness.now, &harness.holders);
            assert_eq!(audit, Ok(()), "seed {seed}, step {number}");
        }
    }
}

#[test]
fn a_search_without_a_change_starts_nothing_that_waits_for_room() {
    let mut harness = Harness::new(2);
    harness.table.accept(id(1), job(vec![step(40, 1_000)]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.running().len(), 20);
    harness.tick();
    harness.report_all();
    harness.execute_orders();
    assert_eq!(harness.running().len(), 20);
    harness.end(Task { job: id(1), occurrence: 0, step: 0, index: 3 }, ExitReason::Done);
    harness.report_all();
    harness.run_round();
    assert_eq!(harness.running().len(), 20, "the next task starts at once in the free room");
}

#[test]
fn a_worker_that_reports_again_after_a_silence_gets_waiting_tasks_at_once() {
    let mut harness = Harness::new(1);
    harness.wait(Duration::from_millis(2_000));
    harness.table.accept(id(1), job(vec![step(1, 1_000)]), true, harness.now);
    harness.tick();
    harness.report_all();
    harness.tick();
    harness.report_all();
    harness.execute_orders();
    assert_eq!(harness.running().len(), 1);
}

/// Executes the orders of every worker; fails if a start brings one over its capacity.
fn execute_within_capacity(harness: &mut Harness, jobs: &BTreeMap<Id, Job>, context: &str) {
    for (name, worker) in &mut harness.workers {
        let before: Vec<Task> = worker.running.keys().copied().collect();
        worker.execute_orders();
        if worker.running.keys().all(|task| before.contains(task)) {
            continue;
        }
        let steps =
            worker.running.keys().map(|task| &jobs[&task.job].spec.steps[usize::from(task.step)]);
        let used: u32 =
            steps.filter(|step| !step.best_effort).map(|step| step.need.millicores).sum();
        assert!(used <= worker.millicores, "{context}: {name} has {}: {used}", worker.millicores);
    }
}

#[test]
fn no_start_brings_a_worker_over_its_capacity() {
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut harness = Harness::new(WORKERS);
        let mut jobs = BTreeMap::new();
        for number in 0..STEPS * 3 {
            let context = format!("seed {seed}, step {number}");
            match rng.random_range(0..10) {
                0..3 => {
                    let (id, job) = (id(number as u64), random_job(&mut rng));
                    jobs.insert(id, job.clone());
                    harness.table.accept(id, job, true, harness.now);
                }
                3..6 => {
                    if let Some(task) = random_task(&harness, &mut rng) {
                        harness.end(task, ExitReason::Done);
                    }
                }
                6 => {
                    let known: Vec<Id> = jobs.keys().copied().collect();
                    if let Some(id) = known.get(rng.random_range(0..=known.len())) {
                        harness.table.cancel(*id, harness.now);
                    }
                }
                7 => {
                    let millicores = rng.random_range(0..=15_000);
                    harness.worker(rng.random_range(0..WORKERS)).resize(millicores);
                }
                8 => {
                    let worker = harness.worker(rng.random_range(0..WORKERS));
                    worker.restart_agent();
                }
                _ => harness.wait(Duration::from_millis(rng.random_range(1..=200))),
            }
            harness.tick();
            harness.report(rng.random_range(0..WORKERS));
            if rng.random_bool(0.4) {
                harness.report_all();
            }
            if rng.random_bool(0.4) {
                execute_within_capacity(&mut harness, &jobs, &context);
            }
            harness.table.expire(harness.now, harness.now.as_millis());
            let audit = harness.table.audit(harness.now, &harness.holders);
            assert_eq!(audit, Ok(()), "{context}");
        }
        let starts = harness.workers.values().map(|worker| worker.running.len()).sum::<usize>();
        assert!(starts > 0, "seed {seed}: nothing runs");
    }
}
