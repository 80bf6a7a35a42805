//! A replay of an overload without a network: 64 workers whose serving tasks leave part of their
//! processors idle, quick jobs, and heavy best-effort jobs that arrive in bursts. The jobs that end
//! within their objectives are compared with an upper bound that knows all jobs in advance.

use super::harness::{Harness, SERVICE, id};
use super::offline::{Demand, bound};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shallotflow_core::graph::{Id, Job, Queue, Spec, Step, Task};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_policy::disturbance::Rates;
use shallotflow_policy::plan::Settings;
use shallotflow_policy::plan::message::ExitReason;
use std::collections::BTreeMap;
use std::f64::consts::TAU;
use std::time::Duration;

pub(super) const WORKERS: usize = 64;
/// Simulated time between two steps, milliseconds.
const STEP_MS: u64 = 100;
/// Time in which jobs arrive, and in which the last of them may end, milliseconds.
const ARRIVALS_MS: u64 = 60_000;
const END_MS: u64 = 95_000;
/// Serving images with what a whole worker of best-effort tasks adds to their tail latency, as a
/// share of the target.
const IMAGES: [(&str, f64); 4] = [("watch", 3.0), ("match", 1.5), ("track", 0.4), ("store", 0.0)];
const SERVING_MILLICORES: u32 = 4_000;
const SERVING_TARGET_MS: u32 = 100;
const QUICK_PRIORITY: u32 = 0;
const HEAVY_PRIORITY: u32 = 2;
const HEAVY_MILLICORES: u32 = 1_800;
/// A job is of no more value after this many objectives.
const MAX_OBJECTIVES: u64 = 3;
/// Identifiers of serving jobs, quick jobs and heavy jobs start here.
const SERVING: u64 = 1;
const QUICK: u64 = 1_000;
const HEAVY: u64 = 100_000;

/// The load of one replay.
#[derive(Clone, Debug)]
pub(super) struct Load {
    pub(super) seed: u64,
    /// Heavy jobs a second, by queue.
    pub(super) heavy_rates: Vec<(&'static str, f64)>,
    /// Factor of the heavy rates during a burst.
    pub(super) burst: f64,
    /// Highest relative error of the estimates.
    pub(super) error: f64,
}

impl Default for Load {
    fn default() -> Self {
        Self { seed: 1, heavy_rates: vec![("heavy", 2.6)], burst: 2.6, error: 0.9 }
    }
}

/// A heavy job with its true durations.
#[derive(Clone, Debug)]
pub(super) struct Heavy {
    pub(super) job: Job,
    /// Time since the start of the replay, milliseconds.
    pub(super) at_ms: u64,
    /// True duration of the tasks by step, milliseconds.
    durations_ms: Vec<u64>,
    /// When it ended.
    pub(super) ended_ms: Option<u64>,
    /// When its first task started.
    started_ms: Option<u64>,
}

impl Heavy {
    fn objective_ms(&self) -> u64 {
        2 * self.durations_ms.iter().sum::<u64>() + 1_000
    }

    /// Returns its work, processor-milliseconds.
    fn work(&self) -> f64 {
        let steps = self.job.spec.steps.iter().zip(&self.durations_ms);
        let tasks = steps.map(|(step, duration)| f64::from(step.count) * *duration as f64);
        tasks.sum::<f64>() * f64::from(HEAVY_MILLICORES) / 1_000.0
    }

    pub(super) fn queue(&self) -> &str {
        &self.job.queue.name
    }

    pub(super) fn in_time(&self) -> bool {
        self.ended_ms.is_some_and(|at| at - self.at_ms <= self.objective_ms())
    }
}

/// The result of a replay.
#[derive(Debug)]
pub(super) struct Figures {
    pub(super) heavy: Vec<Heavy>,
    /// Time for which serving tasks were over their target, summed over them, seconds.
    pub(super) over_target_s: f64,
    /// Median time from arrival to end of quick jobs, milliseconds.
    pub(super) quick_median_ms: u64,
    /// Upper bound of the jobs that can end in time.
    pub(super) bound: f64,
}

impl Figures {
    pub(super) fn in_time(&self) -> usize {
        self.heavy.iter().filter(|job| job.in_time()).count()
    }

    /// Returns the mean value of the heavy jobs, as users rate it.
    pub(super) fn value(&self) -> f64 {
        let count = self.heavy.len() as f64;
        let mean = self.heavy.iter().map(Heavy::work).sum::<f64>() / count;
        let values = self.heavy.iter().map(|job| {
            let weight = 0.3 + 0.7 * job.work() / mean;
            let took = job.ended_ms.map_or(u64::MAX, |at| at - job.at_ms);
            match took {
                took if took <= job.objective_ms() => weight,
                took if took <= MAX_OBJECTIVES * job.objective_ms() => 0.15 * weight,
                _ => 0.0,
            }
        });
        values.sum::<f64>() / count
    }

    /// Returns the share of the jobs in time among those whose rank by work within all is in
    /// `ranks`, as shares of the number of jobs, the largest last.
    pub(super) fn share_of_ranks(&self, ranks: std::ops::Range<f64>) -> f64 {
        let mut sorted: Vec<&Heavy> = self.heavy.iter().collect();
        sorted.sort_by(|a, b| a.work().total_cmp(&b.work()));
        let count = sorted.len() as f64;
        let chosen = &sorted[(count * ranks.start) as usize..(count * ranks.end) as usize];
        chosen.iter().filter(|job| job.in_time()).count() as f64 / chosen.len().max(1) as f64
    }

    pub(super) fn print(&self, label: &str) {
        let started = self.heavy.iter().filter(|job| job.started_ms.is_some()).count();
        println!(
            "{label}: {} of {} in time, bound {:.1}, ratio {:.3}, value {:.3}, begun {started}, \
             over target {:.0} s, quick median {} ms, largest tenth {:.2}, fifth below {:.2}",
            self.in_time(),
            self.heavy.len(),
            self.bound,
            self.in_time() as f64 / self.bound,
            self.value(),
            self.over_target_s,
            self.quick_median_ms,
            self.share_of_ranks(0.9..1.0),
            self.share_of_ranks(0.7..0.9),
        );
    }
}

/// A run of a heavy or quick task, with the work that is left, milliseconds at full speed.
struct Active {
    left_ms: f64,
    millicores: f64,
    best_effort: bool,
    total_ms: f64,
}

/// The state of a worker besides what the harness keeps.
struct Machine {
    millicores: f64,
    phase: f64,
    active: BTreeMap<Task, Active>,
    serving: BTreeMap<Task, usize>,
    pace: f64,
    paced_at_ms: u64,
}

fn exponential(rng: &mut SmallRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

fn queue(name: &str, priority: u32, stretch: f64, target_ms: u64) -> Queue {
    Queue {
        name: Name::from(name),
        service: Name::from(SERVICE),
        priority,
        attempts: 2,
        stretch,
        target_ms,
    }
}

fn need(millicores: u32, memory_mib: u32) -> Bundle {
    Bundle { millicores, memory_mib, ..Bundle::default() }
}

fn submitted(queue: Queue, steps: Vec<Step>) -> Job {
    Job { queue, spec: Spec { text: "replay".into(), steps, ..Spec::default() }, accepted_ms: 0 }
}

fn heavy_job(rng: &mut SmallRng, queue_name: &str, at_ms: u64, error: f64) -> Heavy {
    let off = 1.0 + rng.random_range(-error..=error);
    let mut durations_ms = Vec::new();
    let mut steps = Vec::new();
    for number in 0..2_u16 {
        let duration = rng.random_range(2_300..=2_700_u64);
        durations_ms.push(duration);
        steps.push(Step {
            count: (exponential(rng, 20.0) as u32).clamp(1, 80),
            need: need(HEAVY_MILLICORES, 3_200),
            estimate_ms: (duration as f64 * off) as u64,
            after: (0..number).collect(),
            image: Some(Name::from("render")),
            best_effort: true,
            ..Step::default()
        });
    }
    let job = submitted(queue(queue_name, HEAVY_PRIORITY, 2.0, 1_000), steps);
    Heavy { job, at_ms, durations_ms, ended_ms: None, started_ms: None }
}

fn quick_job(rng: &mut SmallRng) -> Job {
    let count = if rng.random_bool(0.6) { 2 } else { 1 };
    let step = |number: u16| Step {
        count: 10,
        need: need(400, 200),
        estimate_ms: 700,
        after: (0..number).collect(),
        ..Step::default()
    };
    submitted(queue("quick", QUICK_PRIORITY, 4.0, 500), (0..count).map(step).collect())
}

/// Returns the times in which heavy jobs arrive at a higher rate: five seconds in each twenty.
fn in_burst(at_ms: u64) -> bool {
    (10_000..15_000).contains(&(at_ms % 20_000))
}

/// Draws the heavy jobs of `load`, in order of arrival.
fn draw_heavy(load: &Load, rng: &mut SmallRng) -> Vec<Heavy> {
    let mut heavy = Vec::new();
    for (queue_name, rate) in &load.heavy_rates {
        let mut at_ms = 0.0;
        loop {
            let factor = if in_burst(at_ms as u64) { load.burst } else { 1.0 };
            at_ms += exponential(rng, 1_000.0 / (rate * factor));
            if at_ms >= ARRIVALS_MS as f64 {
                break;
            }
            heavy.push(heavy_job(rng, queue_name, at_ms as u64, load.error));
        }
    }
    heavy.sort_by_key(|job| job.at_ms);
    heavy
}

/// One replay.
struct Replay {
    harness: Harness,
    machines: Vec<Machine>,
    heavy: Vec<Heavy>,
    quick: BTreeMap<Id, u64>,
    quick_times: Vec<u64>,
    elapsed_ms: u64,
    over_target_ms: u64,
    /// Processor-milliseconds that best-effort tasks could use, by step.
    idle: Vec<f64>,
}

impl Replay {
    fn new(settings: Settings, rng: &mut SmallRng) -> Self {
        let mut harness = Harness::with_settings(settings, WORKERS);
        let mut machines = Vec::new();
        for number in 0..WORKERS {
            let millicores = 16_000 + 2_000 * u32::try_from(number % 5).expect("small");
            let worker = harness.worker(number);
            (worker.millicores, worker.memory_mib) = (millicores, 64_000);
            machines.push(Machine {
                millicores: f64::from(millicores),
                phase: rng.random(),
                active: BTreeMap::new(),
                serving: BTreeMap::new(),
                pace: 1.0,
                paced_at_ms: 0,
            });
        }
        harness.report_all();
        let mut rates = Rates::default();
        for (image, added) in IMAGES {
            rates.set(&image.into(), Some(&"render".into()), added);
        }
        harness.table.restore_rates(rates);
        let total: f64 = machines.iter().map(|machine| machine.millicores).sum();
        let count = (total * 0.8 / f64::from(SERVING_MILLICORES) / IMAGES.len() as f64) as u32;
        for (number, (image, _)) in (0..).zip(IMAGES) {
            let step = Step {
                count,
                need: need(SERVING_MILLICORES, 500),
                long_running: true,
                target_ms: SERVING_TARGET_MS,
                image: Some(Name::from(image)),
                ..Step::default()
            };
            let job = submitted(queue("serving", 1, 1.0, 0), vec![step]);
            harness.table.accept(id(SERVING + number), job, true, harness.now);
        }
        Self {
            harness,
            machines,
            heavy: Vec::new(),
            quick: BTreeMap::new(),
            quick_times: Vec::new(),
            elapsed_ms: 0,
            over_target_ms: 0,
            idle: Vec::new(),
        }
    }

    /// Adds the runs that the workers started since the last step.
    fn adopt_starts(&mut self) {
        let Self { harness, machines, heavy, elapsed_ms, .. } = self;
        for (machine, worker) in machines.iter_mut().zip(harness.workers.values()) {
            machine.active.retain(|task, _| worker.running.contains_key(task));
            for task in worker.running.keys() {
                if task.job.0 < QUICK {
                    let image = usize::try_from(task.job.0 - SERVING).expect("small");
                    machine.serving.entry(*task).or_insert(image);
                } else if !machine.active.contains_key(task) {
                    let (total_ms, millicores, best_effort) = if task.job.0 < HEAVY {
                        (700.0, 400.0, false)
                    } else {
                        let job = &mut heavy[usize::try_from(task.job.0 - HEAVY).expect("small")];
                        job.started_ms.get_or_insert(*elapsed_ms);
                        let duration = job.durations_ms[usize::from(task.step)] as f64;
                        (duration, f64::from(HEAVY_MILLICORES), true)
                    };
                    let active = Active { left_ms: total_ms, millicores, best_effort, total_ms };
                    machine.active.insert(*task, active);
                }
            }
        }
    }

    /// Advances the runs of all workers by one step.
    fn advance(&mut self) {
        let mut ended = Vec::new();
        let mut idle = 0.0;
        for number in 0..WORKERS {
            let machine = &mut self.machines[number];
            let swing =
                1.0 + 0.5 * (TAU * (self.elapsed_ms as f64 / 14_000.0 + machine.phase)).sin();
            let requested = machine.serving.len() as f64 * f64::from(SERVING_MILLICORES);
            let sum = |best_effort: bool| -> f64 {
                let runs = machine.active.values().filter(|run| run.best_effort == best_effort);
                runs.map(|run| run.millicores).sum()
            };
            let free = (machine.millicores - requested * 0.45 * swing - sum(false)).max(0.0);
            idle += free * STEP_MS as f64 / 1_000.0;
            let demanded = sum(true);
            let speed = machine.pace * (free / demanded.max(1.0)).min(1.0);
            let share = demanded * speed / machine.millicores;
            let ratio = |image: usize| 0.45 * swing + IMAGES[image].1 * share;
            let worst = machine.serving.values().map(|image| ratio(*image)).fold(0.0, f64::max);
            let over = machine.serving.values().filter(|image| ratio(**image) > 1.0).count();
            self.over_target_ms += over as u64 * STEP_MS;
            let worker = self.harness.worker(number);
            for (task, image) in &machine.serving {
                if let Some(run) = worker.running.get_mut(task) {
                    run.percent = 100;
                    run.measurement = (ratio(*image) * f64::from(SERVING_TARGET_MS)) as u32;
                }
            }
            for (task, active) in &mut machine.active {
                let speed = if active.best_effort { speed } else { 1.0 };
                active.left_ms -= STEP_MS as f64 * speed;
                let Some(run) = worker.running.get_mut(task) else { continue };
                let done = 1.0 - active.left_ms / active.total_ms;
                run.percent = (done.clamp(0.0, 1.0) * 100.0) as u8;
                run.measurement = (active.millicores * speed) as u32;
                if active.best_effort {
                    run.pace = (machine.pace * 100.0) as u8;
                }
                if active.left_ms <= 0.0 {
                    ended.push(*task);
                }
            }
            // The agent slows best-effort tasks down while a target is missed.
            if self.elapsed_ms >= machine.paced_at_ms + 500 {
                machine.paced_at_ms = self.elapsed_ms;
                if worst > 1.0 {
                    machine.pace = if machine.pace > 0.25 { 0.25 } else { 0.0 };
                } else if worst < 0.85 {
                    machine.pace = (machine.pace + 0.2).min(1.0);
                }
            }
        }
        self.idle.push(idle);
        for task in ended {
            self.harness.end(task, ExitReason::Done);
        }
    }

    /// Runs one step: arrivals, decisions, reports and progress.
    fn step(&mut self, rng: &mut SmallRng, next: &mut usize) {
        self.elapsed_ms += STEP_MS;
        self.harness.wait(Duration::from_millis(STEP_MS));
        while self.heavy.get(*next).is_some_and(|job| job.at_ms <= self.elapsed_ms) {
            let job = self.heavy[*next].job.clone();
            self.harness.table.accept(id(HEAVY + *next as u64), job, true, self.harness.now);
            *next += 1;
        }
        if self.elapsed_ms < ARRIVALS_MS {
            let mut at = exponential(rng, 1_000.0 / 15.0);
            while at < STEP_MS as f64 {
                let job_id = id(QUICK + self.quick.len() as u64);
                self.quick.insert(job_id, self.elapsed_ms);
                self.harness.table.accept(job_id, quick_job(rng), true, self.harness.now);
                at += exponential(rng, 1_000.0 / 15.0);
            }
        }
        self.harness.report_all();
        self.harness.run_round();
        self.harness.report_all();
        self.adopt_starts();
        self.advance();
        for event in self.harness.table.take_events() {
            use shallotflow_policy::plan::Event;
            let Event::Job { job, state, .. } = event else { continue };
            assert_eq!(state, shallotflow_core::graph::State::Completed, "{job}");
            if job.0 >= HEAVY {
                let number = usize::try_from(job.0 - HEAVY).expect("small");
                self.heavy[number].ended_ms = Some(self.elapsed_ms);
            } else if let Some(at) = self.quick.get(&job) {
                self.quick_times.push(self.elapsed_ms - at);
            }
        }
        for record in self.harness.table.records(self.harness.now, 100) {
            self.harness.table.mark_recorded(record.job, record.version);
        }
    }
}

/// Replays `load` under `settings`.
pub(super) fn replay(settings: Settings, load: &Load) -> Figures {
    let mut rng = SmallRng::seed_from_u64(load.seed);
    let heavy = draw_heavy(load, &mut rng);
    let mut replay = Replay::new(settings, &mut rng);
    replay.heavy = heavy;
    let mut next = 0;
    while replay.elapsed_ms < END_MS {
        replay.step(&mut rng, &mut next);
    }
    let Replay { heavy, mut quick_times, idle, over_target_ms, .. } = replay;
    quick_times.sort_unstable();
    let demands = heavy.iter().map(|job| Demand {
        from: job.at_ms / STEP_MS,
        until: (job.at_ms + job.objective_ms()) / STEP_MS,
        work: job.work(),
    });
    Figures {
        bound: bound(&demands.collect::<Vec<_>>(), &idle),
        heavy,
        over_target_s: over_target_ms as f64 / 1_000.0,
        quick_median_ms: quick_times.get(quick_times.len() / 2).copied().unwrap_or(0),
    }
}
