//! Simulates strategies for the choice of a target and compares how long requests wait for a slot.
//!
//! Several entries share workers; each worker has slots and one FIFO queue. An entry learns the
//! load of a worker from the responses to its own requests and from periodic reports. Prints the
//! quantiles of the wait of each strategy in milliseconds. All random numbers come from fixed
//! seeds.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shallotflow_core::class::Class;
use shallotflow_core::time::Time;
use shallotflow_policy::route::{Id, Load, Query, Settings, Table, Target};
use std::collections::{BinaryHeap, VecDeque};

const SLOTS: u32 = 8;
const SERVICE_US: f64 = 10_000.0;
/// One request in fifty takes ten times as long.
const STRAGGLER_SHARE: f64 = 0.02;
const STRAGGLER_FACTOR: f64 = 10.0;
const LATENCY_US: u64 = 1_000;
const REPORT_US: u64 = 500_000;
const END_US: u64 = 20_000_000;
const SEEDS: [u64; 3] = [7, 8, 9];
const STRATEGIES: [Strategy; 6] = [
    Strategy::Random,
    Strategy::Pairs(1),
    Strategy::Pairs(2),
    Strategy::Pairs(4),
    Strategy::Pairs(8),
    Strategy::Pairs(32),
];

/// Strategy for the choice of a target.
#[derive(Clone, Copy, Debug)]
enum Strategy {
    Random,
    /// The best target of this many random pairs; stops early at a target without a queue.
    Pairs(u32),
}

/// Number of workers and entries.
#[derive(Clone, Copy, Debug)]
struct Shape {
    workers: usize,
    entries: usize,
    /// Number of entries that know each worker.
    known_by: usize,
}

const SHAPES: [Shape; 4] = [
    Shape { workers: 11, entries: 1, known_by: 1 },
    Shape { workers: 11, entries: 3, known_by: 3 },
    Shape { workers: 200, entries: 10, known_by: 10 },
    Shape { workers: 200, entries: 10, known_by: 3 },
];

/// Simulated event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Enqueue { worker: usize, entry: usize, queued_at: u64 },
    Completion { worker: usize, entry: usize },
    Response { worker: usize, entry: usize, running: u32, queued: u32 },
    Report,
}

#[derive(Default)]
struct Worker {
    running: u32,
    queue: VecDeque<(usize, u64)>,
}

struct Simulation {
    strategy: Strategy,
    rng: SmallRng,
    workers: Vec<Worker>,
    /// Table of each entry, with the id of each worker that the entry knows.
    entries: Vec<(Table, Vec<Option<Id>>)>,
    events: BinaryHeap<std::cmp::Reverse<(u64, u64, Event)>>,
    events_scheduled: u64,
    waits: Vec<u64>,
}

impl Simulation {
    fn new(strategy: Strategy, shape: &Shape, seed: u64) -> Self {
        let pairs = if let Strategy::Pairs(pairs) = strategy { pairs } else { 1 };
        let table = |entry: usize| {
            let settings = Settings { pairs, ..Settings::default() };
            let mut table = Table::new(settings, "here".into());
            let ids = (0..shape.workers).map(|worker| {
                let is_known = (worker + entry) % shape.entries < shape.known_by;
                let target = Target {
                    worker: format!("worker-{worker}").into(),
                    domain: "here".into(),
                    address: ([127, 0, 0, 1], 1).into(),
                    kinds: vec!["preview".into()],
                };
                is_known.then(|| table.announce(target))
            });
            let ids = ids.collect();
            (table, ids)
        };
        Self {
            strategy,
            rng: SmallRng::seed_from_u64(seed),
            workers: (0..shape.workers).map(|_| Worker::default()).collect(),
            entries: (0..shape.entries).map(table).collect(),
            events: BinaryHeap::new(),
            events_scheduled: 0,
            waits: Vec::new(),
        }
    }

    fn run(mut self, load: f64) -> Vec<u64> {
        let mean = SERVICE_US * (1.0 + STRAGGLER_SHARE * (STRAGGLER_FACTOR - 1.0));
        let mean_gap = mean / (load * self.workers.len() as f64 * f64::from(SLOTS));
        self.schedule(0, Event::Report);
        self.schedule(0, Event::Arrival);
        while let Some(std::cmp::Reverse((now, _, event))) = self.events.pop() {
            if now > END_US {
                break;
            }
            self.handle(now, event, mean_gap);
        }
        self.waits
    }

    fn handle(&mut self, now: u64, event: Event, mean_gap: f64) {
        match event {
            Event::Arrival => {
                let entry = self.rng.random_range(0..self.entries.len());
                let worker = self.choose(now, entry);
                self.schedule(
                    now + LATENCY_US,
                    Event::Enqueue { worker, entry, queued_at: now + LATENCY_US },
                );
                let gap = exponential(&mut self.rng, mean_gap);
                self.schedule(now + gap, Event::Arrival);
            }
            Event::Enqueue { worker, entry, queued_at } => {
                self.workers[worker].queue.push_back((entry, queued_at));
                self.start(now, worker);
            }
            Event::Completion { worker, entry } => {
                self.workers[worker].running -= 1;
                self.start(now, worker);
                let (running, queued) = self.load(worker);
                self.schedule(now + LATENCY_US, Event::Response { worker, entry, running, queued });
            }
            Event::Response { worker, entry, running, queued } => {
                let (table, ids) = &mut self.entries[entry];
                let Some(id) = ids[worker] else { return };
                table.end_request(id, Class::Quick);
                table.observe(Time::from_micros(now), id, snapshot(running, queued));
            }
            Event::Report => {
                for worker in 0..self.workers.len() {
                    let (running, queued) = self.load(worker);
                    for (table, ids) in &mut self.entries {
                        let Some(id) = ids[worker] else { continue };
                        table.observe(Time::from_micros(now), id, snapshot(running, queued));
                    }
                }
                self.schedule(now + REPORT_US, Event::Report);
            }
        }
    }

    fn choose(&mut self, now: u64, entry: usize) -> usize {
        if matches!(self.strategy, Strategy::Random) {
            return self.rng.random_range(0..self.workers.len());
        }
        let (table, ids) = &mut self.entries[entry];
        let query = Query { kind: "preview", class: Class::Quick, tried: &[] };
        let choice = table.choose(Time::from_micros(now), &query, &mut self.rng);
        let id = choice.expect("an eligible target").id;
        table.begin_request(Time::from_micros(now), id, Class::Quick);
        ids.iter().position(|known| *known == Some(id)).expect("a known target")
    }

    fn start(&mut self, now: u64, worker: usize) {
        while self.workers[worker].running < SLOTS {
            let Some((entry, queued_at)) = self.workers[worker].queue.pop_front() else { return };
            self.workers[worker].running += 1;
            self.waits.push(now - queued_at);
            let is_straggler = self.rng.random_bool(STRAGGLER_SHARE);
            let mean = if is_straggler { SERVICE_US * STRAGGLER_FACTOR } else { SERVICE_US };
            let service = exponential(&mut self.rng, mean);
            self.schedule(now + service, Event::Completion { worker, entry });
        }
    }

    fn load(&self, worker: usize) -> (u32, u32) {
        let worker = &self.workers[worker];
        (worker.running, u32::try_from(worker.queue.len()).unwrap_or(u32::MAX))
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.events_scheduled += 1;
        self.events.push(std::cmp::Reverse((time, self.events_scheduled, event)));
    }
}

fn snapshot(running: u32, queued: u32) -> Load {
    let service_us = SERVICE_US as u32;
    Load { running, queued, slots: SLOTS, service_us, disturbance_milli: 1_000 }
}

fn exponential(rng: &mut SmallRng, mean_us: f64) -> u64 {
    (-rng.random::<f64>().max(f64::MIN_POSITIVE).ln() * mean_us) as u64
}

fn main() {
    println!("workers entries known by load   way          p50 ms    p99 ms  p99.9 ms");
    for shape in SHAPES {
        for load in [0.7, 0.9] {
            for strategy in STRATEGIES {
                print(&shape, load, strategy);
            }
        }
    }
}

fn print(shape: &Shape, load: f64, strategy: Strategy) {
    let waits = SEEDS.into_iter().flat_map(|seed| Simulation::new(strategy, shape, seed).run(load));
    let mut waits: Vec<u64> = waits.collect();
    waits.sort_unstable();
    let at = |milli: usize| waits[(waits.len() - 1) * milli / 1_000] as f64 / 1_000.0;
    let Shape { workers, entries, known_by } = shape;
    let name = format!("{strategy:?}");
    println!(
        "{workers:7} {entries:7} {known_by:8} {load:4.1}   {name:10} {:9.2} {:9.2} {:9.2}",
        at(500),
        at(990),
        at(999),
    );
}
