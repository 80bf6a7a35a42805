//! More work than the workers can hold.

use super::harness::{Harness, id, job, step, task};
use super::replay::{Figures, Load, replay};
use shallotflow_core::graph::Job;
use shallotflow_core::name::Name;
use shallotflow_policy::plan::Settings;
use std::time::Duration;
use test_case::test_case;

fn with_priority(priority: u32, mut job: Job) -> Job {
    job.queue.priority = priority;
    job.queue.name = Name::from(format!("queue-{priority}"));
    job
}

#[test]
fn queues_with_a_lower_priority_number_go_first() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), with_priority(2, job(vec![step(9, 5_000)])), true, harness.now);
    harness.table.accept(id(2), with_priority(0, job(vec![step(1, 5_000)])), true, harness.now);
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 0, 0), task(2, 0, 0)]);
}

#[test]
fn waiting_large_tasks_do_not_block_small_ones() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![step(3, 8_000)]), true, harness.now);
    harness.table.accept(id(2), job(vec![step(2, 1_000)]), true, harness.now);
    harness.run_round();
    assert_eq!(harness.running(), [task(1, 0, 0), task(2, 0, 0), task(2, 0, 1)]);
}

/// Submits a burst of three times the capacity of two workers: each job occupies a worker for two
/// seconds and has an objective of five seconds. Returns how many of `jobs` end within it.
fn ended_in_time(jobs: u64) -> usize {
    let mut harness = Harness::new(2);
    let mut started = std::collections::BTreeMap::new();
    let mut in_time = 0;
    for tick in 0..800_u64 {
        harness.wait(std::time::Duration::from_millis(100));
        if tick % 3 == 0 && tick / 3 < jobs {
            let mut large = job(vec![step(1, 9_000)]);
            large.spec.steps[0].estimate_ms = 2_000;
            (large.queue.stretch, large.queue.target_ms) = (2.0, 1_000);
            harness.table.accept(id(tick / 3), large, true, harness.now);
        }
        for running in harness.running() {
            let (since, submitted): (u64, u64) = started[&running.job];
            if tick - since >= 20 {
                harness.end(running, shallotflow_policy::plan::message::ExitReason::Done);
                in_time += usize::from(tick - submitted <= 50);
            }
        }
        harness.report_all();
        harness.run_round();
        for running in harness.running() {
            started.entry(running.job).or_insert((tick, running.job.0 * 3));
        }
    }
    assert_eq!(started.len(), usize::try_from(jobs).expect("few"), "every job starts");
    in_time
}

#[test]
fn a_burst_of_large_jobs_ends_as_many_in_time_as_the_workers_can_run() {
    // In order of arrival, the wait reaches the objective after two seconds, and hardly any job ends
    // in time from then on: 6 of 60. The workers can complete one job a second meanwhile.
    let in_time = ended_in_time(60);
    assert!(in_time >= 16, "{in_time} of 60 in time");
}

/// The share of the offline bound that ends in time.
const TARGET_RATIO: f64 = 0.8;

/// Returns settings with which jobs are ordered by their estimates, newest first.
fn former_rule() -> Settings {
    Settings {
        learns_durations: false,
        orders_by_work: false,
        opens_jobs: false,
        interferes_by_objective: false,
        disturbance_wait: Duration::from_secs(6),
        begun_first: true,
        ..Settings::default()
    }
}

/// Returns settings with which jobs are opened by the backlog, which are off by default.
fn opening_rule() -> Settings {
    Settings {
        learns_durations: true,
        size_bias: 1.0,
        begun_first: true,
        opens_jobs: true,
        interferes_by_objective: true,
        ..Settings::default()
    }
}

#[test]
fn in_the_described_load_four_fifths_of_the_bound_end_in_time() {
    let former = replay(former_rule(), &Load::default());
    former.print("former rule");
    replay(opening_rule(), &Load::default()).print("opening by the backlog");
    let figures = replay(Settings::default(), &Load::default());
    figures.print("rule in force");
    let ratio = figures.in_time() as f64 / figures.bound;
    assert!(ratio >= TARGET_RATIO, "{ratio:.3} of the bound");
}

/// The share of the queue's own rate at which its largest jobs are served at least.
const LARGE_JOBS_SHARE: f64 = 0.5;

#[test_case(Settings::default; "the default order")]
#[test_case(opening_rule; "opening by the backlog")]
fn large_jobs_are_served_at_least_half_as_often_as_all(settings: fn() -> Settings) {
    // One replay has only twenty jobs in its largest tenth.
    let figures: Vec<Figures> =
        (1..=3).map(|seed| replay(settings(), &Load { seed, ..Load::default() })).collect();
    let share = |ranks: std::ops::Range<f64>| {
        let shares = figures.iter().map(|figures| figures.share_of_ranks(ranks.clone()));
        shares.sum::<f64>() / figures.len() as f64
    };
    let all = share(0.0..1.0);
    for ranks in [0.9..1.0, 0.7..0.9] {
        let share = share(ranks.clone());
        println!("ranks {ranks:?}: {share:.2} in time, all {all:.2}");
        assert!(share >= LARGE_JOBS_SHARE * all, "ranks {ranks:?}: {share:.2}, all {all:.2}");
    }
}

/// Largest share of the jobs in time that other queues lose to one with five times its share.
const LARGEST_LOSS: f64 = 0.05;

#[test_case(Settings::default; "the default order")]
#[test_case(opening_rule; "opening by the backlog")]
fn a_queue_with_five_times_its_share_takes_little_from_the_others(settings: fn() -> Settings) {
    let load = |rates: &[(&'static str, f64)]| Load {
        heavy_rates: rates.to_vec(),
        burst: 1.0,
        ..Load::default()
    };
    let in_time = |figures: &Figures| {
        let others = figures.heavy.iter().filter(|job| job.queue() == "other");
        others.filter(|job| job.in_time()).count()
    };
    let alone = in_time(&replay(settings(), &load(&[("other", 0.9)])));
    let beside = in_time(&replay(settings(), &load(&[("other", 0.9), ("hog", 4.5)])));
    println!(
        "other queue: {beside} in time beside a queue with five times its share, {alone} alone"
    );
    let least = alone as f64 * (1.0 - LARGEST_LOSS);
    assert!(beside as f64 >= least, "{beside} beside the other queue, {alone} alone");
}
