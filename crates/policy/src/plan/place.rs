//! Places waiting tasks on workers.
//!
//! Jobs are ordered by `urgency`. A task goes to the worker with the lowest expected processor use,
//! counting the task itself, among the workers with enough free resources. A best-effort task is
//! placed only on a worker whose processors are not fully committed: beyond that, each further task
//! would slow down all tasks on the worker.

use super::demand::Demand;
use super::headroom::{Headroom, Headrooms};
use super::message::{Kind, Profile, Traits};
use super::urgency::Urgency;
use super::{Event, Phase, Table};
use shallotflow_core::graph::{Id, Step, Task};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;

/// Added to the score of the worker where the task failed last, so that any other goes first.
const FAILED_WORKER_PENALTY: f64 = 10.0;
/// Added to the score of an ejected worker; higher than any other score.
const EJECTED_PENALTY: f64 = 100.0;

/// Weight of the expected excess of a serving task over its target, relative to processor use.
const DISTURBANCE_WEIGHT: f64 = 2.0;
/// Expected tail latency of a serving task above which disturbance counts, as a share of its target.
/// The remaining share covers the swings of its load.
const DISTURBANCE_THRESHOLD: f64 = 0.65;

/// Expected excess over a target that is within the error of the estimate, as a share of the target.
const TOLERATED_EXCESS: f64 = 0.05;

/// The worker selected for a task, and its expected processor use.
struct Placement {
    task: Task,
    agent: Name,
    pressure: f64,
}

impl Table {
    /// Starts the tasks that can start at `now`, only at agents in `holders`: the store lists these as
    /// possible holders of runs, and a successor waits for them.
    pub fn place(&mut self, now: Time, holders: &[Name]) {
        let mut headrooms = self.headrooms(now);
        headrooms.retain(|agent, _| holders.contains(agent));
        if headrooms.is_empty() {
            return;
        }
        let mut order: Vec<(Urgency, Id)> = self
            .active
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| job.may_place(now))
            .map(|job| (job.urgency(now), job.id))
            .collect();
        order.sort_unstable();
        for (_, id) in order {
            for placement in self.placements(id, &mut headrooms, now) {
                self.start(placement, now);
            }
        }
    }

    fn headrooms(&self, now: Time) -> Headrooms {
        let headroom = |(agent, worker): (&Name, &super::Worker)| {
            if !worker.accepts_tasks(now, self.settings.report_timeout) {
                return None;
            }
            let capacity = worker.profile.as_ref()?.capacity;
            Some((agent.clone(), Headroom::of(worker, capacity, &self.settings)))
        };
        self.workers.iter().filter_map(headroom).collect()
    }

    /// Selects workers for the waiting tasks of a job while resources are free; a gang is placed as a
    /// whole.
    fn placements(&self, id: Id, headrooms: &mut Headrooms, now: Time) -> Vec<Placement> {
        let Some(job) = self.jobs.get(&id) else { return Vec::new() };
        let mut placements = Vec::new();
        for occurrence in 0..job.spec.occurrences() {
            if job.spec.due_ms(occurrence) > self.wall_ms {
                break;
            }
            for (number, step) in job.spec.steps.iter().enumerate() {
                if !job.is_open(occurrence, number) {
                    continue;
                }
                let range = job.range(occurrence, number);
                let is_waiting = |state: &super::TaskState| {
                    state.phase == Phase::Waiting && state.retry_at.passed(now)
                };
                let waiting: Vec<usize> =
                    range.clone().filter(|position| is_waiting(&job.tasks[*position])).collect();
                if waiting.is_empty() || (step.gang && waiting.len() < range.len()) {
                    continue;
                }
                let mut trial = step.gang.then(|| headrooms.clone());
                let available = trial.as_mut().unwrap_or(headrooms);
                let mut found = Vec::new();
                for position in waiting {
                    let task = job.task(position);
                    let Some((agent, pressure)) =
                        self.choose_worker(&task, step, job, &found, available, now)
                    else {
                        break;
                    };
                    if let Some(headroom) = available.get_mut(&agent) {
                        let demand = Demand::of(step);
                        headroom.used += demand.expected_use(self.settings.serving_use);
                        headroom.add_run(step.image.as_ref(), demand);
                    }
                    found.push(Placement { task, agent, pressure });
                }
                if let Some(trial) = trial {
                    if found.len() < range.len() {
                        continue;
                    }
                    *headrooms = trial;
                }
                placements.extend(found);
            }
        }
        placements
    }

    /// Returns the best worker for `task` and its expected processor use, including the task.
    fn choose_worker(
        &self,
        task: &Task,
        step: &Step,
        job: &super::Job,
        found: &[Placement],
        headrooms: &Headrooms,
        now: Time,
    ) -> Option<(Name, f64)> {
        let state = &job.tasks[job.position(task)?];
        let demand = Demand::of(step);
        let need = demand.reserved();
        let waited_long = state.ready_since.after(self.settings.disturbance_wait).passed(now);
        let mut best: Option<(f64, &Name, f64)> = None;
        for (agent, headroom) in headrooms {
            if !headroom.free.holds(&need) {
                continue;
            }
            let worker = self.workers.get(agent)?;
            let Some(profile) = &worker.profile else { continue };
            if !self.is_eligible(profile, step, job) {
                continue;
            }
            if step.per_worker > 0 {
                let same = |other: &&Task| {
                    other.job == task.job
                        && other.step == task.step
                        && other.occurrence == task.occurrence
                };
                let here = worker.placed.keys().filter(same).count();
                let planned = found.iter().filter(|placement| placement.agent == *agent);
                let planned = planned.map(|placement| &placement.task).filter(same).count();
                if here + planned >= step.per_worker as usize {
                    continue;
                }
            }
            let pressure = headroom.pressure(demand.expected_use(self.settings.serving_use));
            if step.fills
                && pressure > self.settings.best_effort_limit
                && !headroom.best_effort.is_empty()
            {
                continue;
            }
            let mut score = if step.target_ms > 0 {
                headroom.serving_cost(step.image.as_ref())
            } else if step.fills {
                let share = headroom.share(step.need);
                let excess = self.target_excess(headroom, step.image.as_ref(), share);
                // A missed target costs a serving task more than a best-effort task gains.
                if excess > TOLERATED_EXCESS && !waited_long {
                    continue;
                }
                pressure + DISTURBANCE_WEIGHT * excess
            } else {
                pressure
            };
            let remote = step.near.is_some() && step.near != profile.rack;
            if remote {
                score *= self.settings.spread_factor;
            }
            if step.same_rack {
                let other_rack = |placement: &&Placement| {
                    let rack = self.workers.get(&placement.agent).and_then(|w| w.profile.as_ref());
                    rack.is_some_and(|other| other.rack != profile.rack)
                };
                if found.iter().any(|placement| other_rack(&placement)) {
                    score += self.settings.spread_factor;
                }
            }
            if state.failed_at.as_ref() == Some(agent) {
                score += FAILED_WORKER_PENALTY;
            }
            if !worker.ejected_until.passed(now) {
                score += EJECTED_PENALTY;
            }
            if best.is_none_or(|(lowest, ..)| score < lowest) {
                best = Some((score, agent, pressure));
            }
        }
        let (score, agent, pressure) = best?;
        // Waiting for a full worker is better than starting on an ejected one.
        (score < EJECTED_PENALTY).then(|| (agent.clone(), pressure))
    }

    /// Returns how far serving tasks on the worker would exceed their targets with one more
    /// best-effort task, as a share of the target.
    fn target_excess(&self, headroom: &Headroom, image: Option<&Name>, share: f64) -> f64 {
        let Some(image) = image else { return 0.0 };
        let excess = headroom.serving.keys().map(|victim| {
            let before = self.rates.expected(victim, &headroom.best_effort);
            let added = self.rates.added(victim, image) * share;
            // Of a target that is exceeded already, only the added part counts.
            (before + added - DISTURBANCE_THRESHOLD).clamp(0.0, added)
        });
        excess.fold(0.0, f64::max)
    }

    fn is_eligible(&self, profile: &Profile, step: &Step, job: &super::Job) -> bool {
        profile.service == job.queue.service
            && step.requires.as_ref().is_none_or(|label| profile.labels.contains(label))
    }

    fn start(&mut self, placement: Placement, now: Time) {
        let Placement { task, agent, pressure } = placement;
        let Some(job) = self.jobs.get(&task.job) else { return };
        let Some(position) = job.position(&task) else { return };
        let step = job.step(&task);
        let last = if step.gang {
            let range = job.range(task.occurrence, usize::from(task.step));
            // The members of a gang share one run number, and none has started yet.
            let last = |state: &super::TaskState| match state.phase {
                Phase::Starting { run, .. } => run - 1,
                _ => state.last_run,
            };
            job.tasks[range].iter().map(last).max().unwrap_or(0)
        } else {
            job.tasks[position].last_run
        };
        let run = self.next_run(last);
        let checkpoint = if step.gang {
            // The checkpoint of one member covers the gang, and all members must resume from the same.
            let range = job.range(task.occurrence, usize::from(task.step));
            job.tasks[range].iter().find_map(|state| state.checkpoint.clone())
        } else {
            job.tasks[position].checkpoint.clone()
        };
        let order = Kind::Start {
            text: job.spec.text.clone(),
            checkpoint,
            traits: Traits {
                image: step.image.clone(),
                millicores: step.need.millicores,
                best_effort: step.fills,
                target_ms: step.target_ms,
            },
        };
        let withdraw_at = now.after(self.settings.answer_timeout);
        self.occupy(&agent, task);
        let Some(worker) = self.workers.get_mut(&agent) else { return };
        worker.push_order(task, run, order);
        let report_age_ms =
            u64::try_from(now.since(worker.last_report).as_millis()).unwrap_or(u64::MAX);
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let state = &mut job.tasks[position];
        state.last_run = run;
        state.phase = Phase::Starting { agent: agent.clone(), run, withdraw_at };
        state.percent = 0;
        let waited_ms = u64::try_from(now.since(state.ready_since).as_millis()).unwrap_or(u64::MAX);
        let queue = job.queue.name.clone();
        let event = Event::Start { task, run, agent, queue, waited_ms, report_age_ms, pressure };
        self.events.push(event);
    }
}
