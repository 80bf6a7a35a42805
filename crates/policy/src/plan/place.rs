//! Places waiting tasks on workers.
//!
//! Jobs are ordered by `urgency`. A task goes to the worker with the lowest expected processor use,
//! counting the task itself, among the workers with enough free resources. A best-effort task is
//! placed only on a worker whose processors are not fully committed: beyond that, each further task
//! would slow down all tasks on the worker.
//!
//! Before that, each job that starves gets one run wherever there is room, whatever the order and the
//! limits for best-effort tasks say (`starvation`).
//!
//! A pass runs only after a change that can let a task start, and at a fixed interval for what
//! changes with time alone.

use super::demand::Demand;
use super::event::milliseconds;
use super::message::{Kind, Traits};
use super::outbox;
use super::refusals::Refusals;
use super::search::{Isolation, Outcome, Pass, Search};
use super::timers::Timer;
use super::wait::Wait;
use super::waits::Reason;
use super::{Event, Phase, Table, TaskState};
use shallotflow_core::graph::{Id, Task};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::BTreeSet;
use std::time::Duration;

/// What the starts of a job in one pass have in common.
#[derive(Clone, Copy)]
struct Round<'a> {
    now: Time,
    /// Agents that the store lists as possible holders of runs.
    holders: &'a BTreeSet<Name>,
    /// Whether the job starves: one task, or one gang, starts wherever there is room.
    starved: bool,
}

/// The worker selected for a task, and its expected processor use.
struct Placement {
    task: Task,
    agent: Name,
    pressure: f64,
    /// Whether it belongs to a gang with members in several racks.
    spread: bool,
}

impl Table {
    /// Starts the tasks that can start at `now`, only at agents in `holders`: the store lists these as
    /// possible holders of runs, and a successor waits for them.
    pub fn place(&mut self, now: Time, holders: &BTreeSet<Name>) {
        let periodic = self.search_again_at.passed(now);
        if periodic {
            self.refusals.clear();
            self.search_again_at = now.after(self.settings.search_interval);
        }
        if !periodic && !self.may_start {
            return;
        }
        self.racks.begin_pass();
        let round = Round { now, holders, starved: false };
        if self.starvation_due.passed(now) {
            self.starvation_due = now.after(self.settings.starvation_interval);
            self.place_starved(Round { starved: true, ..round });
        }
        let order: Vec<Id> = self.ready.iter().map(|(_, id)| *id).collect();
        self.backlogs.measure(&self.settings, now);
        let mut postponed = Vec::new();
        for id in order {
            if self.may_begin(id, now) {
                self.place_job(id, round);
            } else {
                postponed.push(id);
            }
        }
        for id in postponed {
            if self.open_if_idle(id, now) {
                self.place_job(id, round);
            }
        }
        self.relocate(now, holders);
        self.may_start = false;
    }

    /// Makes the next call of [`place`](Self::place) search for all waiting tasks, because its list
    /// of agents has changed.
    pub fn search_again(&mut self) {
        self.search_again_at = Time::ZERO;
    }

    /// Starts one task, or one gang, of each job that starves, the longest first.
    fn place_starved(&mut self, round: Round<'_>) {
        self.update_idle_jobs(round.now);
        self.refusals.clear();
        let mut full = Refusals::default();
        for (since, id) in self.overdue_jobs(round.now) {
            if self.has_room_for(id, &mut full) && self.place_job(id, round) {
                let idle_ms = milliseconds(round.now.since(since));
                self.events.push(Event::Starved { job: id, idle_ms });
            }
        }
    }

    /// Starts the tasks of a job that are due, whose step is open and for which there is room. Returns
    /// whether any was started.
    fn place_job(&mut self, id: Id, round: Round<'_>) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let (steps, occurrences) = (job.spec.steps.len(), job.spec.occurrences());
        let mut started = false;
        'due: for occurrence in 0..occurrences {
            for step in 0..steps {
                let Some(job) = self.jobs.get(&id) else { return started };
                if (started && round.starved) || job.spec.due_ms(occurrence) > self.wall_ms {
                    break 'due;
                }
                if job.waiting_tasks(occurrence, step) > 0 && job.is_open(occurrence, step) {
                    started |= self.place_step(id, occurrence, step, round);
                }
            }
        }
        if started {
            self.update_ready(id, round.now);
        }
        started
    }

    /// Starts the waiting tasks of a step while there is room; a gang is placed as a whole. Returns
    /// whether any task was started.
    fn place_step(&mut self, id: Id, occurrence: u32, number: usize, round: Round<'_>) -> bool {
        let Round { now, holders, starved } = round;
        let Some(job) = self.jobs.get(&id) else { return false };
        let step = &job.spec.steps[number];
        let (gang, per_worker, same_rack) = (step.gang, step.per_worker, step.same_rack);
        let local = same_rack || step.data_rack.is_some();
        let service = &job.queue.service;
        let need = Demand::of(step).reserved();
        if self.refusals.is_full(service, step, &need) {
            self.note_hold(id, occurrence, number, Some(Reason::NoRoom), now);
            return false;
        }
        let range = job.range(occurrence, number);
        let is_waiting = |state: &TaskState| {
            state.phase == Phase::Waiting
                && state.retry_at.passed(now)
                && state.crash_version <= job.recorded
        };
        let mut waiting: Vec<usize> =
            range.clone().filter(|position| is_waiting(&job.tasks[*position])).collect();
        if waiting.is_empty() || (gang && waiting.len() < range.len()) {
            return false;
        }
        if step.best_effort {
            let waits_since = |position: &usize| job.tasks[*position].waits_since();
            let longest = waiting.iter().copied().min_by_key(waits_since).unwrap_or(waiting[0]);
            let may_interfere = starved || self.settings.may_interfere(job, longest, now);
            if !may_interfere && self.refusals.is_disturbing(service, step) {
                self.note_hold(id, occurrence, number, Some(Reason::Disturbing), now);
                return false;
            }
            // What has waited for longer may start where others may not yet.
            waiting.sort_by_key(waits_since);
        }
        let mut isolation = Isolation::None;
        let mut started = false;
        if job.suspects > 0 && !gang {
            (started, waiting) = self.place_suspects(id, waiting, now, holders);
        } else if job.suspects > 0 {
            if waiting.iter().any(|position| job.tasks[*position].must_start_alone(now)) {
                isolation = Isolation::Alone;
            } else if job.is_held(now) {
                return false;
            }
        }
        if starved && !gang {
            waiting.truncate(usize::from(!started));
        }
        let mut found: Vec<Placement> = Vec::new();
        let mut racks =
            if same_rack { self.step_racks(id, occurrence, number) } else { Vec::new() };
        let tasks = waiting.len();
        let mut hold = None;
        for position in waiting {
            if local {
                self.track_step(id, number, &racks);
            }
            let Some(job) = self.jobs.get(&id) else { return false };
            let members = if gang { tasks - found.len() } else { 1 };
            let pass =
                Pass { now, holders, except: None, racks: &racks, isolation, members, starved };
            let (agent, pressure) = match Search::new(self, pass, job, position).run() {
                Outcome::Worker { agent, pressure, .. } => (agent, pressure),
                Outcome::Wait { until, expected } => {
                    let task = job.task(position);
                    let wait = Wait { task, members, until, expected };
                    self.hold(&wait, &racks, now);
                    hold = Some(Reason::Rack);
                    if gang {
                        break;
                    }
                    continue;
                }
                outcome => {
                    // A limit for each worker can also be the reason, which is not remembered.
                    let step = &job.spec.steps[number];
                    hold = Some(match outcome {
                        Outcome::Full => Reason::NoRoom,
                        Outcome::Disturbing => Reason::Disturbing,
                        _ => Reason::Busy,
                    });
                    match outcome {
                        Outcome::Full if per_worker == 0 => {
                            self.refusals.push_full(&job.queue.service, step, need);
                        }
                        Outcome::Disturbing => {
                            self.refusals.push_disturbing(&job.queue.service, step);
                        }
                        _ => {}
                    }
                    break;
                }
            };
            let task = job.task(position);
            if same_rack {
                let rack = self.rack_at(&agent);
                if !racks.contains(&rack) {
                    racks.push(rack);
                }
            }
            self.occupy(&agent, task);
            if let (Some(worker), Some(job)) = (self.workers.get_mut(&agent), self.jobs.get(&id)) {
                worker.placed_bytes += outbox::start_size(&job.spec.text);
            }
            // The next tasks of the step may wait for its end.
            self.count_start(&agent, &task, now);
            found.push(Placement { task, agent, pressure, spread: false });
        }
        for Placement { agent, .. } in &found {
            if let Some(worker) = self.workers.get_mut(agent) {
                worker.placed_bytes = 0;
            }
        }
        if !starved {
            self.note_hold(id, occurrence, number, hold, now);
        }
        if gang && found.len() < range.len() {
            for Placement { task, agent, .. } in found {
                self.vacate(&agent, &task);
            }
            return false;
        }
        started |= !found.is_empty();
        let spread = gang && racks.len() > 1;
        for placement in found {
            let placement = Placement { spread, ..placement };
            let Placement { task, ref agent, .. } = placement;
            let agent = agent.clone();
            self.start(placement, now);
            if isolation == Isolation::Alone {
                self.begin_trial(&agent, task, now);
            }
        }
        started
    }

    /// Notes which rule holds the waiting tasks of a step.
    fn note_hold(&mut self, id: Id, occurrence: u32, step: usize, hold: Option<Reason>, now: Time) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.set_hold(occurrence, step, hold, now);
        }
    }

    /// Orders the start of a suspected task at a worker that it already occupies, and where no other
    /// task starts until the result is known.
    pub(super) fn start_alone(&mut self, task: Task, agent: Name, pressure: f64, now: Time) {
        self.begin_trial(&agent, task, now);
        self.start(Placement { task, agent, pressure, spread: false }, now);
    }

    /// Orders the start of a task at the worker that it already occupies.
    fn start(&mut self, placement: Placement, now: Time) {
        let Placement { task, agent, pressure, spread } = placement;
        let Some(job) = self.jobs.get(&task.job) else { return };
        let Some(position) = job.position(&task) else { return };
        let step = job.step(&task);
        let local = step.same_rack || step.data_rack.is_some();
        let last = if step.gang {
            let range = job.range(task.occurrence, usize::from(task.step));
            // The members of a gang share one run number, and none has started yet.
            let last = |state: &TaskState| match state.phase {
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
                best_effort: step.best_effort,
                target_ms: step.target_ms,
            },
        };
        let withdraw_at = now.after(self.settings.answer_timeout);
        self.push_order(&agent, task, run, order);
        self.timers.push(withdraw_at, Timer::Run(task));
        if let Some(worker) = self.workers.get_mut(&agent) {
            worker.last_start = now;
        }
        let last_report = self.workers.get(&agent).map_or(now, |worker| worker.last_report);
        let report_age_ms = u64::try_from(now.since(last_report).as_millis()).unwrap_or(u64::MAX);
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.set_phase(position, Phase::Starting { agent: agent.clone(), run, withdraw_at });
        let state = &mut job.tasks[position];
        let near_wait_since = state.near_wait_since.take();
        let near_wait = near_wait_since.map_or(Duration::ZERO, |since| now.since(since));
        let near_wait_ms = u64::try_from(near_wait.as_millis()).unwrap_or(u64::MAX);
        state.last_run = run;
        state.begun = now;
        state.unanswered = false;
        state.resumed = state.checkpoint.is_some();
        (state.worked, state.worked_until) = (Duration::ZERO, now);
        state.percent = 0;
        let waited_ms = u64::try_from(now.since(state.ready_since).as_millis()).unwrap_or(u64::MAX);
        let queue = job.queue.name.clone();
        self.count_start(&agent, &task, now);
        if local && near_wait_since.is_none() {
            self.count_arrival(&task, now);
        }
        let near = if local { self.is_near(&agent, &task) } else { None };
        let near = near.map(|near| near && !spread);
        self.events.push(Event::Start {
            task,
            run,
            agent,
            queue,
            waited_ms,
            report_age_ms,
            pressure,
            near,
            near_wait_ms,
        });
    }
}
