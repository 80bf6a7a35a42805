//! Jobs of which nothing runs although callers count room for them.
//!
//! Callers miss a job if nothing of it runs for three seconds while one of its tasks could, the room
//! for it is free twice, and less than half of the processors are reserved.

use super::harness::{Harness, id, job, name, step, task};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use shallotflow_core::graph::{Id, Job, State, Step, Task};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use shallotflow_policy::disturbance::Rates;
use shallotflow_policy::plan::message::{ExitReason, Outcome, Status};
use shallotflow_policy::plan::{Event, Phase, Settings};
use std::collections::BTreeMap;
use std::time::Duration;
use test_case::test_case;

/// How long nothing of a job may run while callers count room for it.
const LONGEST: Duration = Duration::from_secs(3);
/// Simulated time between two steps.
const STEP: Duration = Duration::from_millis(50);

fn best_effort(count: u32, millicores: u32) -> Step {
    Step { best_effort: true, image: Some(Name::from("proof")), ..step(count, millicores) }
}

/// A step of tasks that serve, one at each worker.
fn serving(count: u32, millicores: u32) -> Step {
    Step {
        long_running: true,
        target_ms: 100,
        image: Some(Name::from("watch")),
        per_worker: 1,
        ..step(count, millicores)
    }
}

impl Harness {
    /// Runs rounds until a task of `job` runs; returns how long that takes, `limit` at most.
    fn time_to_run(&mut self, job: u64, limit: Duration) -> Duration {
        let begin = self.now;
        while !begin.after(limit).passed(self.now) {
            self.run_round();
            if self.running().iter().any(|running| running.job == id(job)) {
                break;
            }
            // A run without progress would be stopped.
            for run in self.workers.values_mut().flat_map(|worker| worker.running.values_mut()) {
                run.percent = (run.percent + 1).min(99);
            }
            self.wait(STEP);
        }
        self.now.since(begin)
    }
}

#[test]
fn a_job_runs_though_best_effort_tasks_of_another_use_all_processors() {
    let mut harness = Harness::new(2);
    harness.table.accept(id(1), job(vec![best_effort(40, 2_000)]), true, harness.now);
    harness.run_round();
    harness.table.accept(id(2), job(vec![best_effort(3, 2_000)]), true, harness.now);
    assert!(harness.time_to_run(2, LONGEST) < LONGEST);
    harness.wait(STEP);
    harness.run_round();
    let own = harness.running().into_iter().filter(|running| running.job == id(2));
    assert_eq!(own.count(), 1, "the others wait for idle processors");
    let events = harness.table.take_events();
    assert!(events.iter().any(|event| matches!(event, Event::Starved { job: Id(2), .. })));
}

#[test]
fn best_effort_tasks_do_not_prolong_the_wait_for_a_quiet_worker() {
    let mut rates = Rates::default();
    rates.set(&"watch".into(), Some(&"proof".into()), 20.0);
    rates.set(&"watch".into(), Some(&"cut".into()), 0.01);
    let mut harness = Harness::new(4);
    harness.table.restore_rates(rates);
    harness.table.accept(id(1), job(vec![serving(4, 4_000)]), true, harness.now);
    harness.run_round();
    let cut = Step { image: Some(Name::from("cut")), ..best_effort(8, 2_000) };
    harness.table.accept(id(2), job(vec![cut]), true, harness.now);
    harness.run_round();
    harness.table.accept(id(3), job(vec![best_effort(3, 2_000)]), true, harness.now);
    assert!(harness.time_to_run(3, LONGEST) < LONGEST);
}

#[test]
fn a_gang_runs_though_best_effort_tasks_of_another_job_use_all_processors() {
    let mut harness = Harness::new(2);
    harness.table.accept(id(1), job(vec![best_effort(40, 2_000)]), true, harness.now);
    harness.run_round();
    let gang = Step { gang: true, ..best_effort(4, 2_000) };
    harness.table.accept(id(2), job(vec![gang]), true, harness.now);
    assert!(harness.time_to_run(2, LONGEST) < LONGEST);
    let own = harness.running().into_iter().filter(|running| running.job == id(2));
    assert_eq!(own.count(), 4, "all members start");
}

#[test]
fn a_job_whose_starts_are_lost_is_missed_no_longer() {
    let mut harness = Harness::new(3);
    harness.table.accept(id(1), job(vec![best_effort(60, 2_000)]), true, harness.now);
    harness.run_round();
    harness.table.accept(id(2), job(vec![best_effort(3, 2_000)]), true, harness.now);
    let accepted = harness.now;
    // The first start is lost; the others are executed.
    let mut lost = None;
    while harness.running().iter().all(|running| running.job != id(2)) {
        harness.wait(STEP);
        harness.tick();
        harness.report_all();
        for worker in harness.workers.values_mut() {
            worker.orders.retain(|order| {
                let lose = order.task.job == id(2) && *lost.get_or_insert(order.run) == order.run;
                !(lose && order.task == task(2, 0, 0))
            });
        }
        harness.execute_orders();
        harness.report_all();
        assert!(harness.now.since(accepted) < LONGEST, "nothing runs after 3 s");
    }
}

/// Guards against a run at a lost machine that counts as one that callers see, until its lease has ended.
#[test]
fn a_job_starts_another_task_when_the_machine_of_its_only_run_is_silent() {
    let mut harness = Harness::new(4);
    harness.table.accept(id(1), job(vec![best_effort(80, 2_000)]), true, harness.now);
    harness.run_round();
    harness.table.accept(id(2), job(vec![best_effort(3, 2_000)]), true, harness.now);
    assert!(harness.time_to_run(2, LONGEST) < LONGEST);
    let first = harness.running().into_iter().find(|running| running.job == id(2));
    let lost = harness.worker_of(first.expect("a run")).expect("a worker");
    let lost_at = harness.now;
    let settings = Settings::default();
    let noticed = settings.report_timeout + settings.starvation_interval;
    let limit = noticed + settings.idle_wait + settings.starvation_interval + 2 * STEP;
    while harness.running().iter().filter(|running| running.job == id(2)).count() < 2 {
        harness.wait(STEP);
        harness.tick();
        for number in (0..4).filter(|number| *number != lost) {
            harness.report(number);
            let worker = harness.worker(number);
            worker.execute_orders();
            for run in worker.running.values_mut() {
                run.percent = (run.percent + 1).min(99);
            }
            harness.report(number);
        }
        let waited = harness.now.since(lost_at);
        assert!(waited < limit, "no other task runs after {waited:?}");
    }
}

/// Guards against a clock that starts anew each time that the owner counts no room, though callers do.
#[test]
fn a_job_runs_though_starts_under_way_take_the_room_again_and_again() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![best_effort(20, 2_000)]), true, harness.now);
    harness.run_round();
    harness.table.accept(id(2), job(vec![best_effort(3, 2_000)]), true, harness.now);
    let begin = harness.now;
    for tick in 0_u64.. {
        if tick.is_multiple_of(18) {
            let mut refused = step(1, 100);
            refused.need.memory_mib = 9_400;
            harness.table.accept(id(100 + tick), job(vec![refused]), true, harness.now);
        }
        harness.tick();
        harness.report_all();
        if tick % 18 == 2 {
            harness.table.cancel(id(100 + tick - 2), harness.now);
        }
        let orders = std::mem::take(&mut harness.worker(0).orders);
        let (held, executed) = orders.into_iter().partition(|order| order.task.job.0 >= 100);
        harness.worker(0).orders = executed;
        harness.execute_orders();
        for run in harness.worker(0).running.values_mut() {
            run.percent = (run.percent + 1).min(99);
        }
        harness.worker(0).orders = held;
        if tick % 18 == 3 {
            harness.refuse_starts(0, Outcome::Refused);
        }
        harness.report_all();
        if harness.running().iter().any(|running| running.job == id(2)) {
            break;
        }
        harness.wait(2 * STEP);
        let waited = harness.now.since(begin);
        assert!(waited < LONGEST, "nothing runs after {waited:?}");
    }
}

#[test]
fn a_job_runs_at_an_ejected_worker_rather_than_nowhere() {
    let mut harness = Harness::new(4);
    for other in 1..4 {
        harness.worker(other).status = Status::Draining { remaining_ms: 60_000 };
    }
    harness.report_all();
    for number in 20..23 {
        harness.table.accept(id(number), job(vec![step(1, 500)]), true, harness.now);
        harness.run_round();
        harness.end(task(number, 0, 0), ExitReason::Failed);
        harness.report_all();
        harness.table.cancel(id(number), harness.now);
        harness.run_round();
    }
    assert!(!harness.table.workers()[&name(0)].ejected_until.passed(harness.now));
    harness.table.accept(id(2), job(vec![best_effort(1, 2_000)]), true, harness.now);
    assert!(harness.time_to_run(2, LONGEST) < LONGEST);
}

#[test]
fn a_repetition_that_is_not_due_does_not_starve() {
    let mut harness = Harness::new(1);
    harness.table.accept(id(1), job(vec![best_effort(20, 2_000)]), true, harness.now);
    harness.run_round();
    let mut later = job(vec![best_effort(1, 2_000)]);
    later.spec.repetitions = 1;
    later.spec.first_due_ms = harness.now.as_millis() + 5_000;
    harness.table.accept(id(2), later, true, harness.now);
    let waited = harness.time_to_run(2, Duration::from_secs(9));
    let due = Duration::from_secs(5);
    assert!(waited > due + Duration::from_secs(1) && waited < due + LONGEST, "{waited:?}");
}

#[test]
fn a_job_waits_while_half_of_the_processors_are_reserved() {
    let mut harness = Harness::new(2);
    harness.table.accept(id(1), job(vec![serving(2, 5_000)]), true, harness.now);
    harness.table.accept(id(2), job(vec![best_effort(40, 2_000)]), true, harness.now);
    harness.run_round();
    harness.table.accept(id(3), job(vec![best_effort(3, 2_000)]), true, harness.now);
    let limit = Duration::from_secs(6);
    assert_eq!(harness.time_to_run(3, limit), limit);
}

/// A backlog of best-effort jobs at workers that also serve.
struct Backlog {
    harness: Harness,
    /// Jobs that have not ended, by when they were accepted.
    open: BTreeMap<Id, Time>,
    /// Work that is left of each run, processor-milliseconds.
    left: BTreeMap<Task, f64>,
    jobs: BTreeMap<Id, Job>,
    /// Since when callers miss each job.
    missed_since: BTreeMap<Id, Time>,
    longest: Duration,
}

impl Backlog {
    const WORKERS: usize = 9;
    const SERVING_MILLICORES: u32 = 3_000;

    fn new(settings: Settings) -> Self {
        let mut harness = Harness::with_settings(settings, Self::WORKERS);
        let mut rates = Rates::default();
        rates.set(&"watch".into(), Some(&"proof".into()), 3.0);
        harness.table.restore_rates(rates);
        let step = serving(u32::try_from(Self::WORKERS).expect("few"), Self::SERVING_MILLICORES);
        harness.table.accept(id(1), job(vec![step]), true, harness.now);
        harness.run_round();
        Self {
            harness,
            open: BTreeMap::new(),
            left: BTreeMap::new(),
            jobs: BTreeMap::new(),
            missed_since: BTreeMap::new(),
            longest: Duration::ZERO,
        }
    }

    fn accept(&mut self, rng: &mut SmallRng) {
        let number = 1_000 + self.jobs.len() as u64;
        let mut step = |after: Vec<u16>| Step {
            after,
            estimate_ms: rng.random_range(1_000..6_000),
            ..best_effort(rng.random_range(1..24), rng.random_range(500..4_000))
        };
        let steps = vec![step(vec![]), step(vec![0])];
        let mut accepted = job(steps);
        (accepted.queue.stretch, accepted.queue.target_ms) = (2.0, 1_000);
        self.harness.table.accept(id(number), accepted.clone(), true, self.harness.now);
        self.jobs.insert(id(number), accepted);
        self.open.insert(id(number), self.harness.now);
    }

    /// Lets the runs of each worker share the processors that serving tasks leave.
    fn advance(&mut self) {
        let mut done = Vec::new();
        for worker in self.harness.workers.values_mut() {
            let own = |task: &&Task| self.jobs.contains_key(&task.job);
            let need = |task: &Task| {
                f64::from(self.jobs[&task.job].spec.steps[usize::from(task.step)].need.millicores)
            };
            let demanded: f64 = worker.running.keys().filter(own).map(need).sum();
            let free = f64::from(worker.millicores.saturating_sub(Self::SERVING_MILLICORES));
            let speed = (free / demanded.max(1.0)).min(1.0);
            for (task, run) in &mut worker.running {
                let Some(spec) = self.jobs.get(&task.job).map(|job| &job.spec) else {
                    (run.percent, run.measurement) = (100, 40);
                    continue;
                };
                let step = &spec.steps[usize::from(task.step)];
                let left = self.left.entry(*task).or_insert(step.estimate_ms as f64);
                *left -= STEP.as_millis() as f64 * speed;
                let share = 1.0 - left.max(0.0) / step.estimate_ms as f64;
                run.percent = (share * 100.0) as u8;
                run.measurement = (f64::from(step.need.millicores) * speed) as u32;
                if *left <= 0.0 {
                    done.push(*task);
                }
            }
        }
        for task in done {
            self.left.remove(&task);
            self.harness.end(task, ExitReason::Done);
        }
    }

    /// Returns whether callers count room for `need` twice, and less than half of the processors as
    /// used.
    fn has_room(&self, need: Bundle, gone: usize) -> bool {
        let workers = self.harness.workers.values().skip(gone);
        let free = workers.map(|worker| {
            let reserved =
                worker.running.keys().filter_map(|task| self.jobs.get(&task.job).zip(Some(task)));
            let memory =
                reserved.map(|(job, task)| job.spec.steps[usize::from(task.step)].need.memory_mib);
            (worker.memory_mib - 100).saturating_sub(memory.sum()) / need.memory_mib
        });
        // Serving tasks reserve three of ten processors.
        free.sum::<u32>() >= 2
    }

    /// Checks what runs of each job, as its caller does.
    fn check(&mut self, gone: usize) {
        let now = self.harness.now;
        let running = self.harness.running();
        for id in self.open.keys().copied().collect::<Vec<_>>() {
            if self.harness.table.visible_state("renders", id) == Some(State::Completed) {
                self.open.remove(&id);
                continue;
            }
            let state = self.harness.table.job(id).expect("a job");
            let waiting = (0..2).find(|step| {
                let waits = |position: usize| state.tasks[position].phase != Phase::Done;
                state.is_open(0, *step) && state.range(0, *step).any(waits)
            });
            let need = waiting.map(|step| state.spec.steps[step].need);
            let runs = running.iter().any(|task| task.job == id);
            if runs || !need.is_some_and(|need| self.has_room(need, gone)) {
                self.missed_since.remove(&id);
                continue;
            }
            let since = *self.missed_since.entry(id).or_insert(now);
            self.longest = self.longest.max(now.since(since));
        }
    }

    /// Plays the backlog; a third of the workers is gone from ten seconds on. Returns for how long
    /// callers missed a job at most.
    fn play(mut self, seed: u64) -> Duration {
        let mut rng = SmallRng::seed_from_u64(seed);
        let begin = self.harness.now;
        let mut gone = 0;
        for tick in 0..8_000_u32 {
            if tick > 400 && self.open.is_empty() {
                break;
            }
            self.harness.wait(STEP);
            if tick < 400 && tick % 10 == 0 {
                self.accept(&mut rng);
            }
            if tick == 200 {
                gone = Self::WORKERS / 3;
                for number in 0..gone {
                    let worker = self.harness.worker(number);
                    worker.running.clear();
                    worker.orders.clear();
                    (worker.memory_mib, worker.millicores) = (1, 1);
                    worker.status = Status::Empty;
                }
            }
            self.harness.report_all();
            self.harness.run_round();
            self.advance();
            self.harness.report_all();
            for record in self.harness.table.records(self.harness.now, 100) {
                self.harness.table.mark_recorded(record.job, record.version);
            }
            self.check(gone);
        }
        assert!(
            self.open.is_empty(),
            "{} jobs open after {:?}",
            self.open.len(),
            self.harness.now.since(begin)
        );
        self.longest
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn no_job_of_a_backlog_is_missed_while_a_third_of_the_workers_is_gone(seed: u64) {
    let longest = Backlog::new(Settings::default()).play(seed);
    assert!(longest < LONGEST, "nothing of a job runs for {longest:?}");
}

#[test]
fn a_backlog_shows_a_wait_without_a_bound() {
    let settings = Settings { idle_wait: Duration::from_secs(3_600), ..Settings::default() };
    let longest = Backlog::new(settings).play(1);
    assert!(longest > LONGEST, "{longest:?}");
}
