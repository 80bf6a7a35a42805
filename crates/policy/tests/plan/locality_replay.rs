//! Replays of requests that name racks, against workers whose runs take longer outside the rack.

use super::harness::{Harness, id, job, name, step};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shallotflow_core::graph::{Step, Task};
use shallotflow_core::name::Name;
use shallotflow_policy::plan::message::{ExitReason, Status};
use shallotflow_policy::plan::{Event, Settings};
use std::collections::BTreeMap;
use std::time::Duration;
use test_case::test_case;

/// Length of a tick; about the time between an end at a worker and the next start there.
const TICK_MS: u64 = 50;
const WORKERS_PER_RACK: usize = 2;
const NEED_MILLICORES: u32 = 2_000;
const DURATION_MS: u64 = 2_000;
/// Stands for a rule that always waits.
const ALWAYS: f64 = f64::INFINITY;
/// Settings of a rule that never waits.
const NEVER: f64 = 1.0;

/// How a replay differs from the usual one.
struct Load {
    racks: usize,
    /// By how much a run takes longer outside its rack.
    factor: f64,
    /// Estimate in the jobs, as a multiple of the true duration.
    estimate: f64,
}

impl Default for Load {
    fn default() -> Self {
        Self { racks: 8, factor: 1.5, estimate: 1.0 }
    }
}

/// A start that the table has ordered.
struct Start {
    job: u64,
    near: bool,
    waited_ms: u64,
}

struct Replay {
    harness: Harness,
    load: Load,
    /// Whether tasks may run nowhere but in their rack.
    always: bool,
    rng: SmallRng,
    /// Progress of the runs in milliseconds of work, with the time at which they end.
    runs: BTreeMap<Task, (u64, u64)>,
    submitted: Vec<u64>,
    /// Time from the submission of each job to its end, milliseconds.
    took_ms: Vec<u64>,
    starts: Vec<Start>,
    /// Number of tasks that began to wait for their rack.
    waits: usize,
    now_ms: u64,
}

fn rack(number: usize) -> Name {
    format!("rack-{number}").into()
}

impl Replay {
    /// Creates a replay with a table that decides with `spread_factor`.
    fn new(load: Load, spread_factor: f64) -> Self {
        let always = spread_factor.is_infinite();
        let spread_factor = if always { NEVER } else { spread_factor };
        let settings = Settings { spread_factor, ..Settings::default() };
        let mut harness = Harness::with_settings(settings, load.racks * WORKERS_PER_RACK);
        for number in 0..load.racks * WORKERS_PER_RACK {
            let rack = rack(number / WORKERS_PER_RACK);
            harness.worker(number).labels = vec![rack.clone()];
            harness.worker(number).rack = Some(rack);
        }
        harness.report_all();
        Self {
            harness,
            load,
            always,
            rng: SmallRng::seed_from_u64(7),
            runs: BTreeMap::new(),
            submitted: Vec::new(),
            took_ms: Vec::new(),
            starts: Vec::new(),
            waits: 0,
            now_ms: 0,
        }
    }

    /// Submits a job of `count` tasks whose data is in the rack `number`.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
    fn submit(&mut self, number: usize, count: u32) {
        let estimate_ms = (DURATION_MS as f64 * self.load.estimate) as u64;
        // A task that may run nowhere else always waits.
        let required_label = self.always.then(|| rack(number));
        let data_rack = Some(rack(number));
        let near = Step { data_rack, required_label, estimate_ms, ..step(count, NEED_MILLICORES) };
        let number = self.submitted.len() as u64;
        self.harness.table.accept(id(number), job(vec![near]), true, self.harness.now);
        self.submitted.push(self.now_ms);
    }

    /// Submits at random `rate` jobs a second, of which the share `hot` names the first rack and the
    /// others any rack.
    fn arrive(&mut self, rate: f64, hot: f64) {
        #[allow(clippy::cast_precision_loss)]
        let mut expected = rate * TICK_MS as f64 / 1_000.0;
        while expected > 0.0 {
            if self.rng.random_bool(expected.min(1.0)) {
                let any = self.rng.random_range(0..self.load.racks);
                let number = if self.rng.random_bool(hot) { 0 } else { any };
                self.submit(number, 1);
            }
            expected -= 1.0;
        }
    }

    /// Advances by a tick: runs end, and the table decides.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, clippy::cast_precision_loss)]
    fn tick(&mut self) {
        self.now_ms += TICK_MS;
        self.harness.wait(Duration::from_millis(TICK_MS));
        let now = self.now_ms;
        for worker in self.harness.workers.values_mut() {
            let tasks: Vec<Task> = worker.running.keys().copied().collect();
            for task in tasks {
                let Some((begun, ends)) = self.runs.get(&task).copied() else { continue };
                if ends <= now {
                    worker.end(task, ExitReason::Done);
                    self.took_ms.push(now - self.submitted[task.job.0 as usize]);
                } else if let Some(run) = worker.running.get_mut(&task) {
                    run.percent = ((now - begun) * 100 / (ends - begun)) as u8;
                }
            }
        }
        self.harness.report_all();
        self.harness.run_round();
        for record in self.harness.table.records(self.harness.now, 1_000) {
            self.harness.table.mark_recorded(record.job, record.version);
        }
        for event in self.harness.table.take_events() {
            match event {
                Event::Start { task, near, near_wait_ms, .. } => {
                    let near = near.expect("the step names a rack");
                    // True durations vary by a fifth.
                    let vary = SmallRng::seed_from_u64(task.job.0).random_range(0.8..1.2);
                    let factor = if near { vary } else { vary * self.load.factor };
                    let takes = (DURATION_MS as f64 * factor) as u64;
                    self.runs.insert(task, (now, now + takes));
                    self.starts.push(Start { job: task.job.0, near, waited_ms: near_wait_ms });
                }
                Event::NearWait { .. } => self.waits += 1,
                _ => {}
            }
        }
    }

    /// Ticks until all jobs have ended.
    fn finish(&mut self) {
        for _ in 0..2_000 {
            if self.harness.table.jobs().all(|job| job.ended.is_some()) {
                return;
            }
            self.tick();
        }
        panic!("{} of {} jobs have ended", self.took_ms.len(), self.submitted.len());
    }

    #[allow(clippy::cast_precision_loss)]
    fn mean_ms(&self) -> f64 {
        self.took_ms.iter().sum::<u64>() as f64 / self.took_ms.len() as f64
    }

    fn far_starts(&self) -> usize {
        self.starts.iter().filter(|start| !start.near).count()
    }

    fn longest_wait_ms(&self) -> u64 {
        self.starts.iter().map(|start| start.waited_ms).max().unwrap_or(0)
    }
}

/// Replays a surge of 5.5 s in which 60% of the requests name one rack.
fn surge(load: Load, spread_factor: f64) -> Replay {
    let mut replay = Replay::new(load, spread_factor);
    for tick in 0..300 {
        let hot = (60..170).contains(&tick);
        replay.arrive(20.0, if hot { 0.6 } else { 0.0 });
        replay.tick();
    }
    replay.finish();
    replay
}

/// Replays jobs of six tasks for one rack, which needs about half of its slots on average. Where two
/// jobs overlap, the second finds the rack full for less than a second.
fn few(spread_factor: f64) -> Replay {
    let mut replay = Replay::new(Load::default(), spread_factor);
    for _ in 0..60 {
        replay.submit(0, 6);
        for _ in 0..replay.rng.random_range(30..60) {
            replay.tick();
        }
    }
    replay.finish();
    replay
}

#[test]
fn few_tasks_for_a_rack_all_start_there_after_short_waits() {
    // Without a wait, each task that comes while the rack happens to be full takes half as long again.
    let (rule, never) = (few(1.5), few(NEVER));
    for (label, replay) in [("rule", &rule), ("never", &never)] {
        println!(
            "few, {label}: mean {:.0} ms, {} of {} elsewhere, {} waits, longest {} ms",
            replay.mean_ms(),
            replay.far_starts(),
            replay.starts.len(),
            replay.waits,
            replay.longest_wait_ms(),
        );
    }
    assert!(never.far_starts() > 0, "the rack is never full");
    assert!(rule.waits > 0, "nothing waits");
    assert_eq!(rule.far_starts(), 0);
    assert!(rule.longest_wait_ms() <= DURATION_MS / 2);
}

#[test_case(1.5)]
#[test_case(2.0)]
#[test_case(3.0)]
fn in_a_surge_the_rule_is_at_least_as_good_as_never_and_as_always_waiting(factor: f64) {
    // Always waiting builds a queue for the rack, and never waiting wastes the slots that are about to
    // become free.
    let load = || Load { factor, ..Load::default() };
    let rule = surge(load(), factor);
    let (never, always) = (surge(load(), NEVER), surge(load(), ALWAYS));
    for (label, replay) in [("rule", &rule), ("never", &never), ("always", &always)] {
        println!(
            "factor {factor}, {label}: mean {:.0} ms, {} of {} elsewhere, longest wait {} ms",
            replay.mean_ms(),
            replay.far_starts(),
            replay.starts.len(),
            replay.longest_wait_ms(),
        );
    }
    assert!(rule.mean_ms() <= never.mean_ms().min(always.mean_ms()));
}

#[test]
fn in_a_surge_the_rack_stays_full_and_the_surplus_starts_at_once() {
    // A surplus that waits for its turn first would start elsewhere only after the longest wait.
    let mut replay = Replay::new(Load::default(), 1.5);
    for _ in 0..10 {
        replay.submit(0, 1);
        for _ in 0..4 {
            replay.tick();
        }
    }
    replay.submit(0, 60);
    let before = replay.starts.len();
    replay.tick();
    assert!(replay.waits > 0, "nothing waits");
    // A slot becomes free each fifth of a second, so that five turns come within half a duration.
    assert!(replay.waits <= 6, "{} wait", replay.waits);
    let at_once = replay.starts.len() - before;
    assert_eq!(at_once + replay.waits, 60, "the surplus starts at once");
    replay.finish();
}

#[test_case(Status::Draining { remaining_ms: 60_000 }, 1 ; "announced")]
#[test_case(Status::Silent, 1 ; "a worker that does not answer")]
fn tasks_that_wait_for_a_rack_start_elsewhere_once_it_is_lost(status: Status, ticks: u64) {
    // A rack without workers frees no slot, so waiting for it is waiting in vain.
    let mut replay = with_waiting_tasks(3.0);
    for number in 0..WORKERS_PER_RACK {
        replay.harness.worker(number).status = status;
    }
    let before = replay.starts.len();
    for _ in 0..ticks {
        replay.tick();
    }
    assert_eq!(replay.starts.len(), before + 3);
    assert_eq!(replay.far_starts(), 3);
}

#[test]
fn tasks_that_wait_for_a_rack_start_elsewhere_once_its_agents_are_silent() {
    // The runs of a silent worker may have ended long ago; no slot of it can be used.
    let mut replay = with_waiting_tasks(3.0);
    let timeout = Settings::default().report_timeout;
    let lost: Vec<_> = (0..WORKERS_PER_RACK)
        .filter_map(|number| replay.harness.workers.remove(&name(number)))
        .collect();
    assert_eq!(lost.len(), WORKERS_PER_RACK);
    let before = replay.starts.len();
    let until = replay.harness.now.after(timeout);
    while !until.passed(replay.harness.now) {
        assert_eq!(replay.starts.len(), before);
        replay.harness.wait(Duration::from_millis(TICK_MS));
        replay.now_ms += TICK_MS;
        for number in WORKERS_PER_RACK..replay.load.racks * WORKERS_PER_RACK {
            replay.harness.report(number);
        }
        replay.harness.tick();
        let starts =
            replay.harness.table.take_events().into_iter().filter_map(|event| match event {
                Event::Start { task, near: Some(near), near_wait_ms, .. } => {
                    Some(Start { job: task.job.0, near, waited_ms: near_wait_ms })
                }
                _ => None,
            });
        replay.starts.extend(starts);
    }
    assert_eq!(replay.starts.len(), before + 3);
    assert_eq!(replay.far_starts(), 3);
}

/// Returns a replay with a full rack and three tasks that have just begun to wait for it.
fn with_waiting_tasks(factor: f64) -> Replay {
    let mut replay = Replay::new(Load { factor, ..Load::default() }, factor);
    replay.submit(0, 10);
    for _ in 0..20 {
        replay.tick();
    }
    replay.submit(0, 3);
    replay.tick();
    assert_eq!((replay.waits, replay.starts.len()), (3, 10));
    replay
}

#[test]
fn a_wait_that_no_slot_ends_is_ended_by_its_timer() {
    // Runs that take much longer than estimated must not hold others back for as long.
    let mut replay = Replay::new(Load { estimate: 0.2, ..Load::default() }, 1.5);
    replay.submit(0, 10);
    for _ in 0..6 {
        replay.tick();
    }
    replay.submit(0, 1);
    replay.finish();
    let last = replay.starts.iter().find(|start| start.job == 1).expect("a start");
    // The estimate of 400 ms allows for 200 ms.
    assert!(!last.near);
    assert!(last.waited_ms <= 200 + TICK_MS, "{} ms", last.waited_ms);
}

#[test_case(0.3 ; "too short")]
#[test_case(3.0 ; "too long")]
fn wrong_estimates_delay_no_task_beyond_the_bound(estimate: f64) {
    // The bound follows from the estimate, so that a wrong one must not let a task wait without end.
    let load = || Load { factor: 2.0, estimate, ..Load::default() };
    let rule = surge(load(), 2.0);
    let (never, always) = (surge(load(), NEVER), surge(load(), ALWAYS));
    println!(
        "estimates times {estimate}: mean {:.0} ms, never {:.0} ms, always {:.0} ms",
        rule.mean_ms(),
        never.mean_ms(),
        always.mean_ms(),
    );
    #[allow(clippy::cast_precision_loss)]
    let bound = DURATION_MS as f64 * estimate;
    #[allow(clippy::cast_precision_loss)]
    let longest = rule.longest_wait_ms() as f64;
    assert!(longest <= bound + TICK_MS as f64, "{longest} ms");
}
