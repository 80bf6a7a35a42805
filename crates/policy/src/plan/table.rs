use super::backlog::Backlogs;
use super::changes::Changes;
use super::durations::Durations;
use super::evacuations::Evacuations;
use super::message::{Kind, Reply, RunTraits, Traits};
use super::racks::Racks;
use super::ranking::Ranking;
use super::refusals::Refusals;
use super::timers::{Timer, Timers};
use super::trial::Trial;
use super::urgency::Urgency;
use super::worker::Placed;
use super::{Event, Job, Phase, Settings, Sizes, TaskState, Worker};
use crate::disturbance::Rates;
use foldhash::{HashMap, HashMapExt};
use shallotflow_core::graph::{Id, Queue, State, Task};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Assumed duration of a stop before one was observed.
const INITIAL_STOP_TIME: Duration = Duration::from_millis(900);
/// Maximum number of runs whose traits are in one reply.
const MAX_RUN_TRAITS: usize = 512;
/// Number of stops over which their duration is averaged.
const STOP_TIME_WEIGHT: u32 = 8;

/// The jobs and workers of one owner.
#[derive(Clone, Debug)]
pub struct Table {
    pub(super) settings: Settings,
    pub(super) epoch: u64,
    pub(super) jobs: HashMap<Id, Job>,
    /// Jobs that have not ended.
    pub(super) active: BTreeSet<Id>,
    pub(super) workers: BTreeMap<Name, Worker>,
    /// Queues by name, from the newest configuration.
    pub(super) queues: HashMap<Name, Queue>,
    /// Active jobs with waiting tasks of open steps, the most urgent first.
    pub(super) ready: BTreeSet<(Urgency, Id)>,
    /// Workers that may get tasks, the least used first.
    pub(super) ranking: Ranking,
    /// What runs in the racks that tasks have named, and what waits for them.
    pub(super) racks: Racks,
    /// Demands that no worker had room for.
    pub(super) refusals: Refusals,
    /// Whether a change since the last pass may let a task start.
    pub(super) may_start: bool,
    /// When all waiting tasks are tried again without a change.
    pub(super) search_again_at: Time,
    /// When the jobs that starve are looked for next.
    pub(super) starvation_due: Time,
    /// Time from the order to stop a run until its end is reported, averaged.
    pub(super) stop_time: Duration,
    /// Workers that are kept for a suspected task, by agent.
    pub(super) trials: BTreeMap<Name, Trial>,
    /// Runs that may have been slowed down for long.
    pub(super) slowed: Vec<Task>,
    /// Deadlines of runs, jobs and workers.
    pub(super) timers: Timers,
    /// Jobs with unrecorded changes.
    pub(super) changes: Changes,
    /// Cancels of jobs that the table does not hold yet, and until when they wait for them: notices and
    /// answers of the store may arrive in any order.
    pub(super) early_cancels: BTreeMap<Id, Time>,
    /// Agents of workers that may hold runs of this owner.
    pub(super) holding: BTreeSet<Name>,
    /// Number of changes of the agents that [`Table::holders`] returns, counted from 1.
    pub(super) holders_version: u64,
    /// Agents with news since [`Table::take_updated`] was called.
    pub(super) updated: BTreeSet<Name>,
    /// Agents that may hold runs of predecessors, and when they are certain to hold none.
    pub(super) missing: BTreeMap<Name, Time>,
    /// Whether agents in `missing` may still hold runs of predecessors.
    pub(super) uncertain: bool,
    /// Largest observed workers.
    pub(super) sizes: Sizes,
    /// Learned disturbance between images.
    pub(super) rates: Rates,
    /// Failure domains at whose workers nothing starts.
    pub(super) evacuations: Evacuations,
    /// Work that waits, and the rate at which it is done.
    pub(super) backlogs: Backlogs,
    /// Learned durations of tasks.
    pub(super) durations: Durations,
    pub(super) events: Vec<Event>,
    /// Wall-clock time at the last tick, milliseconds since 1970.
    pub(super) wall_ms: u64,
}

/// Stands in a list of agents for those that the list does not name.
pub const UNLISTED: &str = "*";

impl Table {
    /// Creates an empty table for the owner with the number `epoch`.
    ///
    /// `agents` may hold runs of predecessors; the table waits for each of them until it reports or
    /// its leases have ended. If [`UNLISTED`] is among them, any agent may hold such runs, so the table
    /// waits until all leases have ended.
    pub fn new(settings: Settings, epoch: u64, agents: Vec<Name>, now: Time) -> Self {
        let empty_at = now.after(settings.succession_slack).after(settings.lease.wait());
        Self {
            settings,
            epoch,
            jobs: HashMap::new(),
            active: BTreeSet::new(),
            workers: BTreeMap::new(),
            queues: HashMap::new(),
            ready: BTreeSet::new(),
            ranking: Ranking::default(),
            racks: Racks::default(),
            refusals: Refusals::default(),
            may_start: false,
            search_again_at: Time::ZERO,
            starvation_due: Time::ZERO,
            stop_time: INITIAL_STOP_TIME,
            trials: BTreeMap::new(),
            slowed: Vec::new(),
            timers: Timers::default(),
            changes: Changes::default(),
            early_cancels: BTreeMap::new(),
            holding: BTreeSet::new(),
            holders_version: 1,
            updated: BTreeSet::new(),
            uncertain: !agents.is_empty(),
            missing: agents.into_iter().map(|agent| (agent, empty_at)).collect(),
            sizes: Sizes::default(),
            rates: Rates::default(),
            evacuations: Evacuations::default(),
            backlogs: Backlogs::new(),
            durations: Durations::default(),
            events: Vec::new(),
            wall_ms: 0,
        }
    }

    /// Returns the epoch of the owner, which workers use for fencing.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the job `id`.
    pub fn job(&self, id: Id) -> Option<&Job> {
        self.jobs.get(&id)
    }

    /// Returns all jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns all workers, by agent.
    pub fn workers(&self) -> &BTreeMap<Name, Worker> {
        &self.workers
    }

    /// Returns the largest observed workers.
    pub fn sizes(&self) -> &Sizes {
        &self.sizes
    }

    /// Returns the state of `task`, if its job is known and has such a task.
    pub(super) fn task_state(&self, task: &Task) -> Option<&TaskState> {
        let job = self.jobs.get(&task.job)?;
        Some(&job.tasks[job.position(task)?])
    }

    /// Returns the state of the job `id` that callers may see, if the owner knows it in `queue`.
    pub fn visible_state(&self, queue: &str, id: Id) -> Option<State> {
        self.jobs.get(&id).filter(|job| &*job.queue.name == queue).map(Job::visible_state)
    }

    /// Counts the jobs of `queue` of which no task has started.
    pub fn waiting(&self, queue: &str) -> usize {
        let active = self.active.iter().filter_map(|id| self.jobs.get(id));
        active.filter(|job| &*job.queue.name == queue && !job.started).count()
    }

    /// Returns the agents that may hold runs, of this owner or of a predecessor: a successor has to
    /// wait for them.
    pub fn holders(&self) -> BTreeSet<Name> {
        self.holding.iter().chain(self.missing.keys()).cloned().collect()
    }

    /// Returns the number of changes of what [`holders`](Self::holders) returns.
    pub fn holders_version(&self) -> u64 {
        self.holders_version
    }

    /// Replaces the queues by those of a newer configuration.
    pub fn set_queues(&mut self, queues: Vec<Queue>, now: Time) {
        self.queues = queues.into_iter().map(|queue| (queue.name.clone(), queue)).collect();
        let active: Vec<Id> = self.active.iter().copied().collect();
        for id in active {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            if let Some(queue) =
                self.queues.get(&job.queue.name).filter(|queue| **queue != job.queue)
            {
                job.queue = queue.clone();
                self.update_ready(id, now);
            }
        }
        self.search_again();
    }

    /// Returns and removes the agents that have had news since the last call: orders, or ends that
    /// they may discard.
    pub fn take_updated(&mut self) -> BTreeSet<Name> {
        std::mem::take(&mut self.updated)
    }

    /// Brings the job's place in the order up to date with its state.
    pub(super) fn update_ready(&mut self, id: Id, now: Time) {
        self.update_durations(id);
        self.update_backlog(id, now);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let waits = job.ended.is_none() && job.has_open_tasks();
        let urgency = waits.then(|| job.urgency(now, &self.settings));
        // Learned durations can change the time of the next change without changing the key.
        if urgency.is_some() {
            let due = job.urgency_changes_at(now);
            if due != job.urgency_due {
                job.urgency_due = due;
                self.timers.push(due, Timer::Urgency(id));
            }
        }
        if urgency == job.queued {
            return;
        }
        if let Some(former) = std::mem::replace(&mut job.queued, urgency) {
            self.ready.remove(&(former, id));
        }
        let Some(urgency) = urgency else { return };
        self.ready.insert((urgency, id));
        self.may_start = true;
    }

    /// Brings the ranking and the list of holders up to date with the state of a worker.
    pub(super) fn update_worker_lists(&mut self, agent: &Name) {
        let Self { workers, ranking, settings, backlogs, .. } = self;
        let Some(worker) = workers.get_mut(agent) else { return };
        if ranking.update(agent, worker, settings) {
            self.refusals.clear();
            self.may_start = true;
        }
        backlogs.update_worker(agent, worker, settings);
        let changed = if worker.may_hold_runs() {
            !self.holding.contains(agent) && self.holding.insert(agent.clone())
        } else {
            self.holding.remove(agent)
        };
        self.holders_version += u64::from(changed);
        self.update_rack(agent);
    }

    /// Returns the reply to the latest report of `agent`, with the orders that it has not received.
    pub fn reply(&self, agent: &str) -> Reply {
        let Some(worker) = self.workers.get(agent) else {
            return Reply { epoch: self.epoch, owned: true, ..Reply::default() };
        };
        Reply {
            epoch: self.epoch,
            owned: true,
            sequence: if worker.may_renew() { worker.sequence } else { 0 },
            orders: worker.outbox.part(),
            recorded: worker.recorded,
            run_traits: if worker.lacks_traits { self.run_traits(worker) } else { Vec::new() },
            worker_started_ms: worker
                .incarnation
                .as_ref()
                .map_or(0, |incarnation| incarnation.started_ms),
            crashes_recorded_ms: worker.crashes_recorded_ms(),
            disturbances: if worker.listed_sequence == worker.sequence {
                self.disturbances(worker)
            } else {
                Vec::new()
            },
            evacuated: worker.evacuated,
            evacuation_version: self.evacuations.version(),
            lease: self.settings.lease,
            generation: worker.generation,
            ..Reply::default()
        }
    }

    /// Returns whether `agent` may renew leases, as its worker says.
    pub fn may_renew(&self, agent: &str) -> bool {
        self.workers.get(agent).is_some_and(Worker::may_renew)
    }

    /// Returns whether there are orders or traits for `agent`, ends above `recorded` to discard, or a
    /// change of its evacuation that it has not reported to know.
    pub fn has_updates(&self, agent: &str, recorded: u64) -> bool {
        let Some(worker) = self.workers.get(agent) else { return false };
        let informed = worker.known_evacuated == worker.evacuated;
        let waits = worker.lacks_traits || worker.needs_generation();
        waits || !worker.outbox.is_empty() || worker.recorded > recorded || !informed
    }

    /// Returns the traits of the runs of a worker.
    fn run_traits(&self, worker: &Worker) -> Vec<RunTraits> {
        let describe = |(task, placed): (&Task, &Placed)| {
            let job = self.jobs.get(&task.job)?;
            let (_, run) = job.tasks[job.position(task)?].current()?;
            let traits = Traits {
                image: placed.image.clone(),
                millicores: placed.need.millicores,
                best_effort: placed.best_effort,
                target_ms: placed.target_ms,
            };
            Some(RunTraits { task: *task, run, traits })
        };
        // A worker has few runs but for a flood of small ones; each reply then describes others.
        let windows = worker.placed.len().div_ceil(MAX_RUN_TRAITS).max(1) as u64;
        let window = usize::try_from(worker.sequence % windows).unwrap_or_default();
        let placed = worker.placed.iter().skip(window * MAX_RUN_TRAITS).take(MAX_RUN_TRAITS);
        placed.filter_map(describe).collect()
    }

    /// Returns and removes the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Orders a stop of the current run of `task`, if any; the run may end for another reason first.
    pub(super) fn stop_run(&mut self, task: Task, reason: &'static str, now: Time) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(position) = job.position(&task) else { return };
        let state = &mut job.tasks[position];
        let (agent, run) = match &state.phase {
            Phase::Starting { agent, run, .. } | Phase::Running { agent, run } => {
                (agent.clone(), *run)
            }
            _ => return,
        };
        job.set_phase(position, Phase::Stopping { agent: agent.clone(), run });
        let state = &mut job.tasks[position];
        state.stopped_at = Some(now);
        state.stop_due = now.after(self.settings.stall_timeout);
        self.timers.push(state.stop_due, Timer::Run(task));
        self.order_stop(&agent, task, run, reason);
    }

    pub(super) fn push_order(&mut self, agent: &Name, task: Task, run: u32, kind: Kind) {
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.push_order(task, run, kind);
            self.updated.insert(agent.clone());
        }
    }

    pub(super) fn order_stop(&mut self, agent: &Name, task: Task, run: u32, reason: &'static str) {
        self.push_order(agent, task, run, Kind::Stop);
        self.events.push(Event::Stop { task, run, agent: agent.clone(), reason });
    }

    /// Returns `task` to waiting after its current run has ended; it may start again from `retry` on.
    ///
    /// If a predecessor may have known the task, agents that have not reported yet may list more of
    /// its failures, so it becomes uncertain instead.
    pub(super) fn release_task(&mut self, task: Task, now: Time, retry: Time) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(position) = job.position(&task) else { return };
        let fresh = job.fresh;
        let agent = job.tasks[position].current().map(|(agent, _)| agent.clone());
        let uncertain = self.uncertain && !fresh;
        if matches!(job.tasks[position].phase, Phase::Running { .. } | Phase::Stopping { .. }) {
            let state = &mut job.tasks[position];
            state.earlier_runs += now.since(state.begun);
        }
        job.set_phase(position, if uncertain { Phase::Uncertain } else { Phase::Waiting });
        let state = &mut job.tasks[position];
        state.retry_at = retry;
        state.ready_since = now;
        // A start that failed does not begin a new wait.
        state.idle_since = state.idle_since.or(Some(now));
        state.percent = 0;
        state.near_wait_since = None;
        state.slowed_since = None;
        if let Some(stopped_at) = state.stopped_at.take() {
            let took = now.since(stopped_at);
            self.stop_time = (self.stop_time * (STOP_TIME_WEIGHT - 1) + took) / STOP_TIME_WEIGHT;
        }
        if let Some(agent) = agent {
            self.vacate(&agent, &task);
        }
        self.update_ready(task.job, now);
        self.may_start = true;
    }

    /// Returns when a task may be retried after `misses` unsuccessful tries; the pause doubles with
    /// each of them.
    pub(super) fn backoff(&self, misses: u32, now: Time) -> Time {
        let pause = self.settings.retry_pause.saturating_mul(1 << misses.min(8));
        now.after(pause.min(self.settings.max_retry_pause))
    }

    /// Ends the job `id` with the final state `state` and stops its runs.
    pub(super) fn end_job(&mut self, id: Id, state: State, reason: &'static str, now: Time) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.ended.is_some() {
            return;
        }
        job.ended = Some(state);
        job.ended_ms = self.wall_ms;
        job.forget_at = now.after(self.settings.retention);
        let current =
            |(position, state): (usize, &super::TaskState)| state.current().map(|_| position);
        let running: Vec<_> = job.tasks.iter().enumerate().filter_map(current).collect();
        let running: Vec<_> = running.into_iter().map(|position| job.task(position)).collect();
        self.active.remove(&id);
        self.trials.retain(|_, trial| trial.task.job != id || trial.started);
        self.timers.push(job.forget_at, Timer::Forget(id));
        self.update_ready(id, now);
        self.events.push(Event::Job { job: id, state, reason });
        let ended = self.jobs.get(&id).and_then(|job| job.ended_event(state, now));
        self.events.extend(ended);
        for task in running {
            self.stop_run(task, reason, now);
        }
        self.mark_changed(id, now);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.ended_version = job.version;
        }
    }

    /// Returns what a run of `task` occupies, if its job is known and has such a task.
    pub(super) fn placed(&self, task: &Task) -> Option<Placed> {
        let job = self.jobs.get(&task.job)?;
        job.position(task)?;
        let step = job.step(task);
        Some(Placed {
            need: step.need,
            best_effort: step.best_effort,
            image: step.image.clone(),
            target_ms: step.target_ms,
            measurement: 0,
            pace: 100,
            ends_at: None,
            progress_since: None,
            listed_at: Time::ZERO,
        })
    }

    /// Adds `task` to the runs that occupy the worker of `agent`.
    pub(super) fn occupy(&mut self, agent: &Name, task: Task) {
        let Some(placed) = self.placed(&task) else { return };
        self.uncount_run(agent, &task);
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.occupy(task, placed);
            self.update_worker_lists(agent);
        }
    }

    /// Removes `task` from the runs that occupy the worker of `agent`.
    pub(super) fn vacate(&mut self, agent: &Name, task: &Task) {
        self.end_trial(agent, task);
        self.uncount_run(agent, task);
        let Some(worker) = self.workers.get_mut(agent) else { return };
        if worker.vacate(task) {
            self.apply_freed(agent);
        }
    }

    /// Lets waiting tasks use what a run at the worker of `agent` has freed.
    pub(super) fn apply_freed(&mut self, agent: &Name) {
        let Some(worker) = self.workers.get(agent) else { return };
        if let Some(profile) = &worker.profile {
            self.refusals.retain_without_room(&worker.load, &profile.capacity);
        }
        self.may_start = true;
        self.update_worker_lists(agent);
    }
}
