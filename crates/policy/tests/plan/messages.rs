//! The size of what the owner sends to agents and records in the store.

use super::harness::{Harness, id, job, name, step, task};
use shallotflow_core::graph::Spec;
use shallotflow_policy::plan::message::{Kind, Order};
use std::time::Duration;

/// Bytes of orders that one reply may have at most: the limit and one order more.
const MAX_ORDERS_BYTES: usize = 64 * 1024 + 4_500;
const TASKS: u32 = 2_400;
const TEXT: usize = 3_905;

fn texts(orders: &[Order]) -> usize {
    let text = |order: &Order| match &order.kind {
        Kind::Start { text, .. } => text.len(),
        Kind::Stop => 0,
    };
    orders.iter().map(text).sum()
}

fn large_job() -> shallotflow_core::graph::Job {
    let mut job = job(vec![step(TASKS, 50)]);
    job.spec.steps[0].need.memory_mib = 1;
    job.spec.text = "x".repeat(TEXT).into();
    job
}

fn harness() -> Harness {
    let mut harness = Harness::new(2);
    for number in 0..2 {
        harness.worker(number).millicores = 64_000;
    }
    harness.report_all();
    harness
}

/// Guards against a reply that grows beyond what an agent can receive: it would be the same or larger each
/// time, and without a reply nothing starts and no lease is renewed.
#[test]
fn a_large_job_with_a_long_text_is_ordered_in_parts() {
    let mut harness = harness();
    harness.table.accept(id(1), large_job(), true, harness.now);
    harness.table.accept(id(2), job(vec![step(1, 500)]), true, harness.now);
    let mut rounds = 0;
    while harness.running().len() < TASKS as usize + 1 {
        harness.tick();
        for number in 0..2 {
            let orders = harness.table.reply(&name(number)).orders;
            assert!(texts(&orders) <= MAX_ORDERS_BYTES, "{} orders", orders.len());
        }
        harness.report_all();
        harness.execute_orders();
        harness.report_all();
        harness.wait(Duration::from_millis(25));
        rounds += 1;
        assert!(rounds < 200, "{} tasks run", harness.running().len());
    }
    assert!(harness.running().contains(&task(2, 0, 0)));
}

/// Guards against starts that wait behind others for an agent that does not receive them, and are withdrawn
/// before it could answer.
#[test]
fn an_agent_gets_no_more_starts_than_one_reply_carries_until_it_has_received_them() {
    let mut harness = harness();
    harness.table.accept(id(1), large_job(), true, harness.now);
    for _ in 0..10 {
        harness.tick();
        harness.wait(Duration::from_millis(25));
    }
    for number in 0..2 {
        let orders = harness.table.reply(&name(number)).orders;
        assert!(!orders.is_empty());
        assert!(texts(&orders) <= MAX_ORDERS_BYTES, "{} orders", orders.len());
    }
    harness.report_all();
    let ordered: usize = (0..2).map(|number| harness.ordered_starts(number).len()).sum();
    harness.tick();
    harness.report_all();
    let later: usize = (0..2).map(|number| harness.ordered_starts(number).len()).sum();
    assert!(later > ordered, "the next ones follow once the first are received");
}

/// Guards against a reply of stops that is too large.
#[test]
fn many_stops_are_ordered_in_parts() {
    let mut harness = harness();
    let mut spec = Spec::clone(&large_job().spec);
    spec.text = "x".into();
    let small = shallotflow_core::graph::Job { spec, ..large_job() };
    harness.table.accept(id(1), small, true, harness.now);
    while harness.running().len() < TASKS as usize {
        harness.run_round();
        harness.wait(Duration::from_millis(25));
    }
    harness.table.cancel(id(1), harness.now);
    while !harness.running().is_empty() {
        let orders = harness.table.reply(&name(0)).orders;
        assert!(orders.len() * 96 <= MAX_ORDERS_BYTES, "{} orders", orders.len());
        harness.run_round();
    }
}

/// Guards against lists of so many runs that an agent cannot report them.
#[test]
fn a_worker_gets_a_bounded_number_of_runs() {
    let mut harness = Harness::new(1);
    harness.worker(0).millicores = 64_000;
    harness.report_all();
    let mut many = job(vec![step(9_000, 1)]);
    many.spec.steps[0].need.memory_mib = 0;
    harness.table.accept(id(1), many, true, harness.now);
    for _ in 0..100 {
        harness.run_round();
        harness.wait(Duration::from_millis(25));
    }
    assert_eq!(harness.running().len(), 4_096);
}

/// Guards against a record that the store refuses: it would never be stored, and the job never end.
#[test]
fn the_checkpoints_in_a_record_are_bounded() {
    let mut harness = Harness::new(1);
    harness.worker(0).millicores = 64_000;
    harness.report_all();
    harness.table.accept(id(1), job(vec![step(40, 100)]), true, harness.now);
    harness.run_round();
    for run in harness.worker(0).running.values_mut() {
        run.checkpoint = Some("c".repeat(64 * 1024).as_str().into());
    }
    harness.report_all();
    let task = harness.running()[0];
    harness.end(task, shallotflow_policy::plan::message::ExitReason::Failed);
    harness.report_all();
    harness.wait(Duration::from_secs(2));
    let records = harness.table.records(harness.now, 10);
    let checkpoints = &records[0].progress.checkpoints;
    let bytes: usize = checkpoints.iter().map(|(_, checkpoint)| checkpoint.len()).sum();
    assert!(!checkpoints.is_empty() && bytes <= 512 * 1024, "{bytes} bytes");
}
