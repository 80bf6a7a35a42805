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
