//! More work than the workers hold.

use super::floor::{Floor, id, job, step, task};
use shallotflow_core::graph::Job;
use shallotflow_core::name::Name;

fn of_priority(priority: u32, mut job: Job) -> Job {
    job.queue.priority = priority;
    job.queue.name = Name::from(format!("queue-{priority}"));
    job
}

#[test]
fn urgent_queues_go_first() {
    let mut floor = Floor::new(1);
    floor.table.accept(id(1), of_priority(2, job(vec![step(9, 5_000)])), true, floor.now);
    floor.table.accept(id(2), of_priority(0, job(vec![step(1, 5_000)])), true, floor.now);
    floor.turn();
    assert_eq!(floor.running(), [task(1, 0, 0), task(2, 0, 0)]);
}

#[test]
fn large_tasks_that_wait_do_not_hold_small_ones_back() {
    let mut floor = Floor::new(1);
    floor.table.accept(id(1), job(vec![step(3, 8_000)]), true, floor.now);
    floor.table.accept(id(2), job(vec![step(2, 1_000)]), true, floor.now);
    floor.turn();
    assert_eq!(floor.running(), [task(1, 0, 0), task(2, 0, 0), task(2, 0, 1)]);
}

/// A burst brings three times what two workers can do: each job takes a worker for two seconds and
/// has an objective of five. Returns how many of `jobs` end within it.
fn ended_in_time(jobs: u64) -> usize {
    let mut floor = Floor::new(2);
    let mut begun = std::collections::BTreeMap::new();
    let mut in_time = 0;
    for tick in 0..800_u64 {
        floor.wait(std::time::Duration::from_millis(100));
        if tick % 3 == 0 && tick / 3 < jobs {
            let mut large = job(vec![step(1, 9_000)]);
            large.spec.steps[0].estimate_ms = 2_000;
            (large.queue.stretch, large.queue.target_ms) = (2.0, 1_000);
            floor.table.accept(id(tick / 3), large, true, floor.now);
        }
        for running in floor.running() {
            let (since, heard): (u64, u64) = begun[&running.job];
            if tick - since >= 20 {
                floor.end(running, shallotflow_policy::plan::message::ExitReason::Done);
                in_time += usize::from(tick - heard <= 50);
            }
        }
        floor.report_all();
        floor.turn();
        for running in floor.running() {
            begun.entry(running.job).or_insert((tick, running.job.0 * 3));
        }
    }
    assert_eq!(begun.len(), usize::try_from(jobs).expect("few"), "none is left out");
    in_time
}

#[test]
fn a_burst_of_large_jobs_leaves_as_many_in_time_as_the_workers_can_do() {
    // In the order of arrival, the queue stands at the objective after two seconds, and hardly any
    // job ends in time from then on: 6 of 60. The workers can end one job a second meanwhile.
    let in_time = ended_in_time(60);
    assert!(in_time >= 16, "{in_time} of 60 in time");
}
