//! Cost of batch jobs at their owner: writes and bytes per job, time per report, and memory.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use shallotflow_core::job::Spec;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use shallotflow_policy::ledger::{ClockReading, Key, Phase, Report, Settings, Status, Table, id};
use std::hint::black_box;
use std::time::Duration;

const LEDGERS: u32 = 1;
const TASKS_PER_WORKER: usize = 12;
const PAYLOAD_BYTES: usize = 200;
const GROUP_SIZES: [usize; 4] = [1, 10, 100, 400];
const WORKERS: [usize; 3] = [100, 1_000, 10_000];

const CALLERS: usize = 110;
/// A capacity that no number of tasks in this benchmark exhausts.
const UNLIMITED: Bundle = Bundle {
    slots: 10_000,
    connections: 10_000,
    millicores: 100_000_000,
    memory_mib: 100_000_000,
    accelerators: 0,
};

/// An owner whose segments are committed immediately and counted.
struct Owner {
    table: Table,
    clock: ClockReading,
    sequence: u64,
    writes: usize,
    bytes: usize,
}

impl Owner {
    fn new() -> Self {
        let clock = ClockReading { now: Time::from_millis(10_000), unix_ms: 1_790_000_000_000 };
        let mut table = Table::new(Settings::default());
        table.open(0, 5, &[], clock).expect("an empty ledger");
        Self { table, clock, sequence: 0, writes: 0, bytes: 0 }
    }

    fn submit(&mut self, first: usize, count: usize) {
        for key in first..first + count {
            let spec = spec(key);
            let id = id::derive(&spec.caller, &key.to_string(), LEDGERS);
            self.table.submit(id, spec, self.clock).expect("a valid job");
        }
        self.commit();
    }

    fn commit(&mut self) {
        while let Some(segment) = self.table.next_segment(0) {
            self.writes += 1;
            self.bytes += segment.body.len();
            self.table.confirm_segment(&segment);
        }
    }

    fn report(&mut self, worker: &Name, room: u32, tasks: &[Key], phase: Phase) -> Vec<Key> {
        self.sequence += 1;
        let report = self.message(worker, room, tasks, phase);
        let pending = self.table.apply_report(&report, self.clock);
        self.commit();
        self.table.reply(&pending).grants.into_iter().map(|grant| grant.key).collect()
    }

    fn message(&self, worker: &Name, room: u32, tasks: &[Key], phase: Phase) -> Report {
        let status =
            |key: &Key| Status { key: key.clone(), phase, checkpoint: None, reason: String::new() };
        Report {
            worker: worker.clone(),
            incarnation: 1,
            sequence: self.sequence,
            boot: 1,
            capacity: UNLIMITED,
            room: Bundle { slots: room, ..UNLIMITED },
            tasks: tasks.iter().map(status).collect(),
            epochs: vec![(0, 5)],
            ..Report::default()
        }
    }
}

fn spec(key: usize) -> Spec {
    Spec {
        caller: format!("team-{}", key % CALLERS).into(),
        kind: "tissue-pattern".into(),
        resources: Bundle {
            slots: 1,
            connections: 1,
            millicores: 500,
            memory_mib: 64,
            accelerators: 0,
        },
        declared_run_ms: 60_000,
        idempotent: false,
        priority: 0,
        payload: "x".repeat(PAYLOAD_BYTES),
    }
}

/// Prints the writes and bytes per job for jobs that pass through a ledger in groups.
fn print_store_cost() {
    println!("jobs in a group | writes for each job | bytes for each job");
    for group in GROUP_SIZES {
        let mut owner = Owner::new();
        let worker: Name = "worker-1".into();
        let jobs = 20_000_usize.min(group * 200);
        for first in (0..jobs).step_by(group) {
            owner.submit(first, group);
            let granted = owner.report(&worker, group as u32, &[], Phase::Running);
            assert_eq!(granted.len(), group, "every job starts");
            owner.report(&worker, 0, &granted, Phase::Running);
            owner.report(&worker, 0, &granted, Phase::Done);
            owner.clock.now = owner.clock.now.after(Duration::from_millis(100));
            owner.table.tick(owner.clock);
        }
        let (writes, bytes) = (owner.writes as f64 / jobs as f64, owner.bytes / jobs);
        println!("{group} | {writes:.3} | {bytes}");
    }
}

/// Prints the resident memory per queued job.
fn print_memory() {
    println!("jobs | bytes of memory for each queued job");
    for jobs in [20_000, 100_000] {
        let before = resident_bytes();
        let mut owner = Owner::new();
        owner.submit(0, jobs);
        let grown = resident_bytes().saturating_sub(before);
        println!("{jobs} | {}", grown / jobs);
        black_box(&owner.table);
    }
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * 4_096
}

fn apply_report(criterion: &mut Criterion) {
    print_store_cost();
    print_memory();
    let mut group = criterion.benchmark_group("ledger::hear");
    for workers in WORKERS {
        let mut owner = Owner::new();
        owner.submit(0, workers * TASKS_PER_WORKER);
        let names: Vec<Name> =
            (0..workers).map(|number| format!("worker-{number}").into()).collect();
        let mut tasks = Vec::new();
        for name in &names {
            let granted = owner.report(name, TASKS_PER_WORKER as u32, &[], Phase::Running);
            assert_eq!(granted.len(), TASKS_PER_WORKER, "every worker is full");
            tasks.push(granted);
        }
        let mut next = 0;
        group.bench_function(BenchmarkId::from_parameter(workers), |bencher| {
            bencher.iter(|| {
                owner.sequence += 1;
                let report = owner.message(&names[next], 0, &tasks[next], Phase::Running);
                next = (next + 1) % workers;
                black_box(owner.table.apply_report(&report, owner.clock))
            });
        });
    }
    group.finish();
}

criterion_group!(benches, apply_report);
criterion_main!(benches);
