//! The system that gives waiting tasks to workers.
//!
//! The order of jobs is that of `urgency`. A task
//! goes to the worker whose processors are expected to be used least with it, among those that can
//! hold it. Tasks that fill are placed only while the processors of a worker are not promised in
//! full: beyond that, each more would slow down all that are there.

use super::demand::Demand;
use super::headroom::{Headroom, Headrooms};
use super::message::{Kind, Profile, Traits};
use super::urgency::Urgency;
use super::{Event, Phase, Table};
use shallotflow_core::graph::{Id, Step, Task};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;

/// Score of a worker on which the task has failed, above that of any other.
const FAILED_HERE: f64 = 10.0;
/// Score of a worker that is set aside, above all others.
const SET_ASIDE: f64 = 100.0;

/// Weight of an expected miss of a serving task's target against the use of processors.
const HARM_WEIGHT: f64 = 2.0;
/// The expected measure of a serving task from which on harm counts, as a share of its target;
/// its load swings by about the rest.
const HARM_FROM: f64 = 0.65;

/// An expected miss that is within the error of what is known.
const HARM_BORNE: f64 = 0.05;

/// A place for a task.
struct Placement {
    task: Task,
    agent: Name,
    pressure: f64,
}

impl Table {
    /// Starts what can start at `now`, at agents that the store lists as possible holders of runs:
    /// a successor waits for those.
    pub fn place(&mut self, now: Time, holders: &[Name]) {
        let mut rooms = self.headrooms(now);
        rooms.retain(|agent, _| holders.contains(agent));
        if rooms.is_empty() {
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
            for places in self.placements(id, &mut rooms, now) {
                self.start(places, now);
            }
        }
    }

    fn headrooms(&self, now: Time) -> Headrooms {
        let takes = |(agent, worker): (&Name, &super::Worker)| {
            if !worker.accepts_tasks(now, self.settings.report_timeout) {
                return None;
            }
            let capacity = worker.profile.as_ref()?.capacity;
            Some((agent.clone(), Headroom::of(worker, capacity, &self.settings)))
        };
        self.workers.iter().filter_map(takes).collect()
    }

    /// Places for the waiting tasks of a job, as far as there is room; a gang is placed as a whole.
    fn placements(&self, id: Id, rooms: &mut Headrooms, now: Time) -> Vec<Placement> {
        let Some(job) = self.jobs.get(&id) else { return Vec::new() };
        let mut places = Vec::new();
        for occurrence in 0..job.spec.occurrences() {
            if job.spec.due_ms(occurrence) > self.wall_ms {
                break;
            }
            for (number, step) in job.spec.steps.iter().enumerate() {
                if !job.is_open(occurrence, number) {
                    continue;
                }
                let range = job.range(occurrence, number);
                let waits = |row: &super::TaskState| {
                    row.phase == Phase::Waiting && row.retry_at.passed(now)
                };
                let waiting: Vec<usize> =
                    range.clone().filter(|place| waits(&job.tasks[*place])).collect();
                if waiting.is_empty() || (step.gang && waiting.len() < range.len()) {
                    continue;
                }
                let mut tried = step.gang.then(|| rooms.clone());
                let rooms_here = tried.as_mut().unwrap_or(rooms);
                let mut found = Vec::new();
                for place in waiting {
                    let task = job.task(place);
                    let Some((agent, pressure)) =
                        self.choose_worker(&task, step, job, &found, rooms_here, now)
                    else {
                        break;
                    };
                    if let Some(room) = rooms_here.get_mut(&agent) {
                        let demand = Demand::of(step);
                        room.used += demand.expected_use(self.settings.serving_use);
                        room.add_run(step.image.as_ref(), demand);
                    }
                    found.push(Placement { task, agent, pressure });
                }
                if let Some(tried) = tried {
                    if found.len() < range.len() {
                        continue;
                    }
                    *rooms = tried;
                }
                places.extend(found);
            }
        }
        places
    }

    /// The worker for `task`, and the expected use of its processors with it.
    fn choose_worker(
        &self,
        task: &Task,
        step: &Step,
        job: &super::Job,
        found: &[Placement],
        rooms: &Headrooms,
        now: Time,
    ) -> Option<(Name, f64)> {
        let row = &job.tasks[job.position(task)?];
        let demand = Demand::of(step);
        let need = demand.reserved();
        let waited_long = row.ready_since.after(self.settings.disturbance_wait).passed(now);
        let mut best: Option<(f64, &Name, f64)> = None;
        for (agent, room) in rooms {
            if !room.free.holds(&need) {
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
                let planned = found.iter().filter(|place| place.agent == *agent);
                let planned = planned.map(|place| &place.task).filter(same).count();
                if here + planned >= step.per_worker as usize {
                    continue;
                }
            }
            let pressure = room.pressure(demand.expected_use(self.settings.serving_use));
            if step.best_effort
                && pressure > self.settings.best_effort_limit
                && !room.best_effort.is_empty()
            {
                continue;
            }
            let mut score = if step.target_ms > 0 {
                room.serving_cost(step.image.as_ref())
            } else if step.best_effort {
                let share = room.share(step.need);
                let excess = self.target_excess(room, step.image.as_ref(), share);
                // A serving task that misses its target loses more than a task that fills gains.
                if excess > HARM_BORNE && !waited_long {
                    continue;
                }
                pressure + HARM_WEIGHT * excess
            } else {
                pressure
            };
            let far = step.data_rack.is_some() && step.data_rack != profile.rack;
            if far {
                score *= self.settings.spread_factor;
            }
            if step.same_rack {
                let elsewhere = |place: &&Placement| {
                    let rack = self.workers.get(&place.agent).and_then(|w| w.profile.as_ref());
                    rack.is_some_and(|other| other.rack != profile.rack)
                };
                if found.iter().any(|place| elsewhere(&place)) {
                    score += self.settings.spread_factor;
                }
            }
            if row.failed_at.as_ref() == Some(agent) {
                score += FAILED_HERE;
            }
            if !worker.ejected_until.passed(now) {
                score += SET_ASIDE;
            }
            if best.is_none_or(|(lowest, ..)| score < lowest) {
                best = Some((score, agent, pressure));
            }
        }
        let (score, agent, pressure) = best?;
        // A worker that fails what it starts is no help while others are only full.
        (score < SET_ASIDE).then(|| (agent.clone(), pressure))
    }

    /// How far the serving tasks of a room would miss their targets with one more task that fills.
    fn target_excess(&self, room: &Headroom, image: Option<&Name>, share: f64) -> f64 {
        let Some(image) = image else { return 0.0 };
        let excess = room.serving.keys().map(|victim| {
            let before = self.rates.expected(victim, &room.best_effort);
            let added = self.rates.added(victim, image) * share;
            // What is missed already counts only by what is added.
            (before + added - HARM_FROM).clamp(0.0, added)
        });
        excess.fold(0.0, f64::max)
    }

    fn is_eligible(&self, profile: &Profile, step: &Step, job: &super::Job) -> bool {
        profile.service == job.queue.service
            && step.required_label.as_ref().is_none_or(|label| profile.labels.contains(label))
    }

    fn start(&mut self, place: Placement, now: Time) {
        let Placement { task, agent, pressure } = place;
        let Some(job) = self.jobs.get(&task.job) else { return };
        let Some(number) = job.position(&task) else { return };
        let step = job.step(&task);
        let last = if step.gang {
            let range = job.range(task.occurrence, usize::from(task.step));
            // The members of a gang share the number of the run, and none has started yet.
            let last = |row: &super::TaskState| match row.phase {
                Phase::Starting { run, .. } => run - 1,
                _ => row.last_run,
            };
            job.tasks[range].iter().map(last).max().unwrap_or(0)
        } else {
            job.tasks[number].last_run
        };
        let run = self.next_run(last);
        let checkpoint = if step.gang {
            // Each member's checkpoint holds for all, and all must go on from the same one.
            let range = job.range(task.occurrence, usize::from(task.step));
            job.tasks[range].iter().find_map(|row| row.checkpoint.clone())
        } else {
            job.tasks[number].checkpoint.clone()
        };
        let order = Kind::Start {
            text: job.spec.text.clone(),
            checkpoint,
            traits: Traits {
                image: step.image.clone(),
                millicores: step.need.millicores,
                best_effort: step.best_effort,
                target_ms: step.target_ms,
            },
        };
        let withdraw = now.after(self.settings.answer_timeout);
        self.occupy(&agent, task);
        let Some(worker) = self.workers.get_mut(&agent) else { return };
        worker.push_order(task, run, order);
        let report_age_ms =
            u64::try_from(now.since(worker.last_report).as_millis()).unwrap_or(u64::MAX);
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let row = &mut job.tasks[number];
        row.last_run = run;
        row.phase = Phase::Starting { agent: agent.clone(), run, withdraw_at: withdraw };
        row.percent = 0;
        let waited_ms = u64::try_from(now.since(row.ready_since).as_millis()).unwrap_or(u64::MAX);
        let queue = job.queue.name.clone();
        let event = Event::Start { task, run, agent, queue, waited_ms, report_age_ms, pressure };
        self.events.push(event);
    }
}
