//! Cost of the owner's decisions by the number of workers: a start, an end, a report and a pass that
//! has nothing to do, with every worker full and as many jobs waiting as fill the workers again.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use shallotflow_core::graph::{Id, Job, Queue, Spec, State, Step, Task};
use shallotflow_core::list::Received;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use shallotflow_policy::plan::message::{
    Additions, Answer, End, ExitReason, Incarnation, Kind, Outcome, Profile, Report, Run, Status,
};
use shallotflow_policy::plan::waits::{Bounds, Scope};
use shallotflow_policy::plan::{Progress, Settings, Table};
use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::time::Duration;

const WORKERS: [usize; 5] = [11, 80, 300, 1_000, 10_000];
const SERVICE: &str = "press";
const TASKS_PER_WORKER: usize = 10;
const TASKS_PER_STEP: u32 = 27;
const WORKERS_PER_RACK: usize = 6;
/// Waiting work, as a multiple of what the workers hold.
const WAITING: f64 = 1.0;

struct Worker {
    running: BTreeMap<Task, u32>,
    sequence: u64,
    received: u64,
    ends: u64,
}

struct Owner {
    table: Table,
    now: Time,
    names: Vec<Name>,
    holders: BTreeSet<Name>,
    workers: Vec<Worker>,
    next_job: u64,
}

fn job() -> Job {
    let need = Bundle { millicores: 6_400, memory_mib: 1_000, ..Bundle::default() };
    let step = Step { count: TASKS_PER_STEP, need, estimate_ms: 1_900, ..Step::default() };
    let second = Step { after: vec![0], ..step.clone() };
    let queue = Queue {
        name: "renders".into(),
        service: SERVICE.into(),
        attempts: 2,
        stretch: 2.0,
        target_ms: 1_000,
        ..Queue::default()
    };
    let spec = Spec { text: "render".into(), steps: vec![step, second], ..Spec::default() };
    Job { queue, spec, accepted_ms: 0 }
}

impl Owner {
    /// Creates an owner whose workers are full, with more jobs waiting.
    fn new(workers: usize) -> Self {
        let now = Time::from_millis(100_000);
        let names: Vec<Name> = (0..workers).map(|n| format!("agent-{n:05}").into()).collect();
        let fresh = || Worker { running: BTreeMap::new(), sequence: 0, received: 0, ends: 0 };
        let mut owner = Self {
            table: Table::new(Settings::default(), 1, Vec::new(), now),
            now,
            holders: names.iter().cloned().collect(),
            names,
            workers: (0..workers).map(|_| fresh()).collect(),
            next_job: 0,
        };
        for number in 0..workers {
            owner.report(number, Vec::new(), Vec::new());
        }
        let tasks = workers * TASKS_PER_WORKER;
        #[allow(clippy::cast_precision_loss)]
        while (owner.next_job as f64) * f64::from(TASKS_PER_STEP) < tasks as f64 * (1.0 + WAITING) {
            owner.submit();
        }
        owner.place();
        let started: usize = (0..workers).map(|number| owner.receive(number)).sum();
        assert_eq!(started, tasks, "every worker is full");
        owner
    }

    fn submit(&mut self) {
        self.next_job += 1;
        self.table.accept(Id(self.next_job), job(), true, self.now);
    }

    fn place(&mut self) {
        self.table.expire(self.now, self.now.as_millis());
        self.table.place(self.now, &self.holders);
        black_box(self.table.take_events());
    }

    fn report(&mut self, number: usize, ends: Vec<End>, answers: Vec<Answer>) {
        let report = self.message(number, ends, answers);
        self.table.apply_report(report, self.now);
    }

    /// Sends a report of a worker, with the list of its runs.
    fn message(&mut self, number: usize, ends: Vec<End>, answers: Vec<Answer>) -> Report {
        let worker = &mut self.workers[number];
        worker.sequence += 1;
        let incarnation = Incarnation { id: self.names[number].clone(), started_ms: 1 };
        let run = |(task, run): (&Task, &u32)| Run {
            task: *task,
            run: *run,
            checkpoint: None,
            percent: 50,
            measurement: 0,
            pace: 100,
        };
        Report {
            agent: self.names[number].clone(),
            process: 1,
            epoch: 1,
            sequence: worker.sequence,
            incarnation: Some(incarnation.clone()),
            worker: Some(Profile {
                incarnation,
                service: SERVICE.into(),
                capacity: Bundle { millicores: 64_000, memory_mib: 250_000, ..Bundle::default() },
                labels: vec!["a".into()],
                rack: Some(format!("rack-{}", number / WORKERS_PER_RACK).into()),
                status: Status::Ready,
                failure_domain: "".into(),
                cold_remaining_ms: 0,
            }),
            vacant: false,
            complete: true,
            running: Received::new(worker.running.iter().map(run), false).into_whole().ok(),
            lacks_traits: false,
            ends,
            answers,
            received: worker.received,
            additions: Additions::default(),
        }
    }

    /// Lets a worker receive its orders and report the starts; returns their number.
    fn receive(&mut self, number: usize) -> usize {
        let reply = self.table.reply(&self.names[number]);
        let worker = &mut self.workers[number];
        let mut answers = Vec::new();
        for order in reply.orders {
            worker.received = worker.received.max(order.number);
            if let Kind::Start { .. } = order.kind {
                worker.running.insert(order.task, order.run);
                let outcome = Outcome::Started;
                answers.push(Answer { task: order.task, run: order.run, outcome });
            }
        }
        let started = answers.len();
        self.report(number, Vec::new(), answers);
        started
    }

    /// Ends one run at a worker, and records what is due.
    fn end(&mut self, number: usize) {
        let Some((task, run)) = self.workers[number].running.pop_first() else { return };
        self.workers[number].ends += 1;
        let reason = ExitReason::Done;
        let end = End { number: self.workers[number].ends, task, run, reason, checkpoint: None };
        self.report(number, vec![end], Vec::new());
        for record in self.table.records(self.now, 14) {
            if record.progress.state == State::Completed {
                self.submit();
            }
            self.table.mark_recorded(record.job, record.version);
        }
    }
}

/// Time from the end of a run to the start of the next one: the report of the end, the pass that
/// places a task, and the report of its start.
fn replace_task(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan::replace");
    for workers in WORKERS {
        let mut owner = Owner::new(workers);
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(workers), |bencher| {
            bencher.iter(|| {
                owner.now = owner.now.after(Duration::from_micros(50));
                owner.end(number);
                owner.place();
                owner.receive(number);
                number = (number + 7) % workers;
            });
        });
    }
    group.finish();
}

/// Time of one start among empty workers: tasks of one job are placed and returned.
fn start(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan::start");
    for workers in WORKERS {
        let mut owner = Owner::new(workers);
        for number in 0..workers {
            while owner.workers[number].running.len() > TASKS_PER_WORKER / 2 {
                owner.end(number);
            }
        }
        group.bench_function(BenchmarkId::from_parameter(workers), |bencher| {
            bencher.iter_batched_ref(
                || owner.table.clone(),
                |table| table.place(owner.now, &owner.holders),
                criterion::BatchSize::PerIteration,
            );
        });
        let mut table = owner.table.clone();
        table.take_events();
        table.place(owner.now, &owner.holders);
        println!("{workers} workers: {} starts in a pass", table.take_events().len());
    }
    group.finish();
}

/// Time of a pass after which nothing has changed.
fn idle_pass(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan::idle");
    for workers in WORKERS {
        let mut owner = Owner::new(workers);
        owner.place();
        group.bench_function(BenchmarkId::from_parameter(workers), |bencher| {
            bencher.iter(|| owner.place());
        });
    }
    group.finish();
}

/// Time of a report that lists the runs of a worker.
fn apply_report(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan::report");
    for workers in WORKERS {
        let mut owner = Owner::new(workers);
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(workers), |bencher| {
            bencher.iter(|| {
                owner.report(number, Vec::new(), Vec::new());
                number = (number + 1) % workers;
            });
        });
    }
    group.finish();
}

/// Time of a report on the tasks that do not run.
fn report_waits(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan::waits");
    for workers in WORKERS {
        let mut owner = Owner::new(workers);
        owner.place();
        let (now, holders) = (owner.now, &owner.holders);
        let scope = Scope { now, holders, may_start: true, after: None, bounds: Bounds::default() };
        group.bench_function(BenchmarkId::from_parameter(workers), |bencher| {
            bencher.iter(|| black_box(owner.table.waits(&scope)));
        });
    }
    group.finish();
}

/// Time to load the jobs of a table after a takeover, a job.
fn load(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan::load");
    for jobs in [100_u64, 1_000, 10_000] {
        group.bench_function(BenchmarkId::from_parameter(jobs), |bencher| {
            bencher.iter(|| {
                let now = Time::from_millis(100_000);
                let missing = vec![Name::from("agent-1")];
                let mut table = Table::new(Settings::default(), 2, missing, now);
                let progress = Progress { state: State::Running, ..Progress::default() };
                for number in 0..jobs {
                    table.load(Id(number), job(), Some(&progress), false, now);
                }
                black_box(table)
            });
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1)).sample_size(20);
    targets = start, replace_task, idle_pass, apply_report, report_waits, load
}
criterion_main!(benches);
