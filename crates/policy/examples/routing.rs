//! Compares ways of choosing a target by the time that requests wait for a slot.
//!
//! Several entries share workers; each worker has slots and one queue in order of arrival. An
//! entry learns the load from the answers to its own requests and from reports. Prints the waits
//! of each way in milliseconds. All random choices come from fixed seeds.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shallotflow_core::class::Class;
use shallotflow_core::time::Time;
use shallotflow_policy::route::{Id, Load, Query, Settings, Table, Target};
use std::collections::{BinaryHeap, VecDeque};

const SLOTS: u32 = 8;
const SERVICE_US: f64 = 10_000.0;
/// One request of fifty takes ten times as long.
const STRAGGLERS: f64 = 0.02;
const STRAGGLER_FACTOR: f64 = 10.0;
const LATENCY_US: u64 = 1_000;
const REPORT_US: u64 = 500_000;
const END_US: u64 = 20_000_000;
const SEEDS: [u64; 3] = [7, 8, 9];
const WAYS: [Way; 6] =
    [Way::Random, Way::Pairs(1), Way::Pairs(2), Way::Pairs(4), Way::Pairs(8), Way::Pairs(32)];

/// How targets are chosen.
#[derive(Clone, Copy, Debug)]
enum Way {
    Random,
    /// The best of so many pairs; stops early at a target without a queue.
    Pairs(u32),
}

/// The size of a floor.
#[derive(Clone, Copy, Debug)]
struct Shape {
    workers: usize,
    entries: usize,
    /// How many entries know a worker.
    known_by: usize,
}

const SHAPES: [Shape; 4] = [
    Shape { workers: 11, entries: 1, known_by: 1 },
    Shape { workers: 11, entries: 3, known_by: 3 },
    Shape { workers: 200, entries: 10, known_by: 10 },
    Shape { workers: 200, entries: 10, known_by: 3 },
];

/// What happens at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Reach { worker: usize, entry: usize, began: u64 },
    End { worker: usize, entry: usize },
    Answer { worker: usize, entry: usize, running: u32, queued: u32 },
    Report,
}

#[derive(Default)]
struct Worker {
    running: u32,
    queue: VecDeque<(usize, u64)>,
}

struct Floor {
    way: Way,
    rng: SmallRng,
    workers: Vec<Worker>,
    /// Of each entry its table, and of each worker its place in it if it is known there.
    entries: Vec<(Table, Vec<Option<Id>>)>,
    events: BinaryHeap<std::cmp::Reverse<(u64, u64, Event)>>,
    number: u64,
    waits: Vec<u64>,
}

impl Floor {
    fn new(way: Way, shape: &Shape, seed: u64) -> Self {
        let pairs = if let Way::Pairs(pairs) = way { pairs } else { 1 };
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
            way,
            rng: SmallRng::seed_from_u64(seed),
            workers: (0..shape.workers).map(|_| Worker::default()).collect(),
            entries: (0..shape.entries).map(table).collect(),
            events: BinaryHeap::new(),
            number: 0,
            waits: Vec::new(),
        }
    }

    fn run(mut self, load: f64) -> Vec<u64> {
        let mean = SERVICE_US * (1.0 + STRAGGLERS * (STRAGGLER_FACTOR - 1.0));
        let between = mean / (load * self.workers.len() as f64 * f64::from(SLOTS));
        self.at(0, Event::Report);
        self.at(0, Event::Arrive);
        while let Some(std::cmp::Reverse((now, _, event))) = self.events.pop() {
            if now > END_US {
                break;
            }
            self.handle(now, event, between);
        }
        self.waits
    }

    fn handle(&mut self, now: u64, event: Event, between: f64) {
        match event {
            Event::Arrive => {
                let entry = self.rng.random_range(0..self.entries.len());
                let worker = self.choose(now, entry);
                self.at(now + LATENCY_US, Event::Reach { worker, entry, began: now + LATENCY_US });
                let gap = exponential(&mut self.rng, between);
                self.at(now + gap, Event::Arrive);
            }
            Event::Reach { worker, entry, began } => {
                self.workers[worker].queue.push_back((entry, began));
                self.start(now, worker);
            }
            Event::End { worker, entry } => {
                self.workers[worker].running -= 1;
                self.start(now, worker);
                let (running, queued) = self.load(worker);
                self.at(now + LATENCY_US, Event::Answer { worker, entry, running, queued });
            }
            Event::Answer { worker, entry, running, queued } => {
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
                self.at(now + REPORT_US, Event::Report);
            }
        }
    }

    fn choose(&mut self, now: u64, entry: usize) -> usize {
        if matches!(self.way, Way::Random) {
            return self.rng.random_range(0..self.workers.len());
        }
        let (table, ids) = &mut self.entries[entry];
        let query = Query { kind: "preview", class: Class::Quick, tried: &[] };
        let choice = table.choose(Time::from_micros(now), &query, &mut self.rng);
        let id = choice.expect("a target that may be chosen").id;
        table.begin_request(Time::from_micros(now), id, Class::Quick);
        ids.iter().position(|known| *known == Some(id)).expect("a known target")
    }

    fn start(&mut self, now: u64, worker: usize) {
        while self.workers[worker].running < SLOTS {
            let Some((entry, began)) = self.workers[worker].queue.pop_front() else { return };
            self.workers[worker].running += 1;
            self.waits.push(now - began);
            let straggles = self.rng.random_bool(STRAGGLERS);
            let mean = if straggles { SERVICE_US * STRAGGLER_FACTOR } else { SERVICE_US };
            let service = exponential(&mut self.rng, mean);
            self.at(now + service, Event::End { worker, entry });
        }
    }

    fn load(&self, worker: usize) -> (u32, u32) {
        let worker = &self.workers[worker];
        (worker.running, u32::try_from(worker.queue.len()).unwrap_or(u32::MAX))
    }

    fn at(&mut self, time: u64, event: Event) {
        self.number += 1;
        self.events.push(std::cmp::Reverse((time, self.number, event)));
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
            for way in WAYS {
                print(&shape, load, way);
            }
        }
    }
}

fn print(shape: &Shape, load: f64, way: Way) {
    let waits = SEEDS.into_iter().flat_map(|seed| Floor::new(way, shape, seed).run(load));
    let mut waits: Vec<u64> = waits.collect();
    waits.sort_unstable();
    let at = |milli: usize| waits[(waits.len() - 1) * milli / 1_000] as f64 / 1_000.0;
    let Shape { workers, entries, known_by } = shape;
    let name = format!("{way:?}");
    println!(
        "{workers:7} {entries:7} {known_by:8} {load:4.1}   {name:10} {:9.2} {:9.2} {:9.2}",
        at(500),
        at(990),
        at(999),
    );
}
