//! What runs in a rack and when it is expected to end, and what waits for the rack.
//!
//! The sums of a rack are kept from the first task on that names it, so that a table without such
//! tasks does no work for them.

use super::locality::usable_factor;
use super::timers::Timer;
use super::worker::Placed;
use super::{Phase, Table, Worker};
use foldhash::HashMap;
use shallotflow_core::graph::{Step, Task};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Resolution of the expected ends; about the interval between two lists of a worker's runs.
const RESOLUTION_MS: u64 = 50;
/// Progress from which on the speed of a run is taken from its progress, percent: below it, the
/// rounding of two percentages exceeds the error of most estimates.
const LEAST_PROGRESS: u8 = 10;

/// Time over which the arrivals for a rack are averaged; a surge for one rack lasts some seconds.
const ARRIVAL_WINDOW: Duration = Duration::from_secs(1);

/// A service and a rack of its workers.
pub(super) type Key = (Name, Name);

/// A sum of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Amount {
    millicores: u64,
    memory_mib: u64,
    accelerators: u64,
}

impl Amount {
    /// Returns what `tasks` tasks of `step` request.
    pub(super) fn of(step: &Step, tasks: usize) -> Self {
        Self::from(&step.need).times(u64::try_from(tasks).unwrap_or(u64::MAX))
    }

    /// Returns the processors, thousandths of a processor.
    pub(super) fn millicores(&self) -> u64 {
        self.millicores
    }

    fn times(&self, factor: u64) -> Self {
        self.zip(&Self::default(), |own, _| own.saturating_mul(factor))
    }

    fn plus(&self, other: &Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    fn minus(&self, other: &Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }

    fn holds(&self, need: &Self) -> bool {
        self.millicores >= need.millicores
            && self.memory_mib >= need.memory_mib
            && self.accelerators >= need.accelerators
    }

    /// Returns how often `part` has to be used up before what is left of `self` fits in it, or `None`
    /// if it has nothing of a resource in `self`.
    fn rounds(&self, part: &Self) -> Option<u64> {
        let pairs = [
            (self.millicores, part.millicores),
            (self.memory_mib, part.memory_mib),
            (self.accelerators, part.accelerators),
        ];
        let needed = pairs.into_iter().filter(|(own, _)| *own > 0);
        let rounds = needed.map(|(own, part)| (own - 1).checked_div(part));
        rounds.collect::<Option<Vec<u64>>>()?.into_iter().max()
    }

    fn zip(&self, other: &Self, op: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            millicores: op(self.millicores, other.millicores),
            memory_mib: op(self.memory_mib, other.memory_mib),
            accelerators: op(self.accelerators, other.accelerators),
        }
    }
}

impl From<&shallotflow_core::resources::Bundle> for Amount {
    fn from(need: &shallotflow_core::resources::Bundle) -> Self {
        Self {
            millicores: need.millicores.into(),
            memory_mib: need.memory_mib.into(),
            accelerators: need.accelerators.into(),
        }
    }
}

/// The sums of one rack.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Rack {
    /// Requests of the runs that are expected to end, by the number of the interval in which they end.
    ends: BTreeMap<u64, Amount>,
    /// Sum of `ends`.
    ending: Amount,
    /// Requests of the tasks that the current pass lets wait for the rack.
    waiting: Amount,
    /// What has come for the rack before `latest_at`, weighted by its age at that time.
    earlier: Arrivals,
    /// What has come for the rack at `latest_at`.
    latest: Arrivals,
    /// When the latest tasks have come.
    latest_at: Time,
}

/// Tasks that have come for a rack.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Arrivals {
    /// Number of tasks.
    tasks: f64,
    /// What they use in their estimated times, thousandths of a processor times milliseconds.
    work: f64,
}

impl Arrivals {
    /// Returns the sum of `self`, weighted by its age, and `other`.
    fn aged(self, age: Duration, other: Self) -> Self {
        let weight = (-age.as_secs_f64() / ARRIVAL_WINDOW.as_secs_f64()).exp();
        Self { tasks: self.tasks * weight + other.tasks, work: self.work * weight + other.work }
    }
}

impl Rack {
    /// Returns the expected time until what ends in the rack covers the tasks that wait for it and
    /// `need` more; `None` if nothing of a needed resource becomes free.
    ///
    /// A run that is overdue is expected to take as long again. What waits beyond the present runs
    /// comes after runs of `duration` in their place.
    pub(super) fn expected_wait(
        &self,
        need: &Amount,
        duration: Duration,
        now: Time,
    ) -> Option<Duration> {
        let wanted = self.waiting.plus(need);
        let rounds = wanted.rounds(&self.ending)?;
        let wanted = wanted.minus(&self.ending.times(rounds));
        let current = interval(now);
        let mut due = self.ends.range(current..).peekable();
        let mut overdue = self.ends.range(..current).rev().peekable();
        let mut freed = Amount::default();
        let mut distance = 0;
        while !freed.holds(&wanted) {
            let next = due.peek().map_or(u64::MAX, |(end, _)| **end - current);
            let again = overdue.peek().map_or(u64::MAX, |(end, _)| current - **end);
            let (_, amount) = if next <= again { due.next() } else { overdue.next() }?;
            freed = freed.plus(amount);
            distance = next.min(again);
        }
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        let wait = Duration::from_millis(distance.saturating_mul(RESOLUTION_MS));
        Some(wait.saturating_add(duration.saturating_mul(rounds)))
    }

    /// Counts a task of `step` that has come for the rack.
    fn add_arrival(&mut self, step: &Step, now: Time) {
        if self.latest_at != now {
            self.earlier = self.arrivals_before(now);
            self.latest = Arrivals::default();
            self.latest_at = now;
        }
        let work = work_of(step);
        self.latest = self.latest.aged(Duration::ZERO, Arrivals { tasks: 1.0, work });
    }

    /// Returns what has come for the rack before `now`, weighted by its age. The tasks that have come
    /// together say nothing on whether more will.
    fn arrivals_before(&self, now: Time) -> Arrivals {
        if self.latest_at == now {
            return self.earlier;
        }
        let age = now.since(self.latest_at);
        self.earlier.aged(Duration::ZERO, self.latest).aged(age, Arrivals::default())
    }

    /// Returns the tasks a second that have come for the rack lately, and the processors that they keep
    /// busy as a share of those that its runs use; without the tasks of `step`, which became ready
    /// together at `ready_since`.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn arrivals(&self, step: &Step, ready_since: Time, now: Time) -> (f64, f64) {
        let all = self.arrivals_before(now);
        let age = now.since(ready_since);
        let own = if age.is_zero() { 0.0 } else { f64::from(step.count) };
        let own = Arrivals { tasks: own, work: own * work_of(step) };
        let own = own.aged(age, Arrivals::default());
        let window = ARRIVAL_WINDOW.as_secs_f64();
        let work = (all.work - own.work).max(0.0) / (window * 1_000.0);
        let rate = (all.tasks - own.tasks).max(0.0) / window;
        (rate, work / self.ending.millicores.max(1) as f64)
    }

    /// Returns the requests of the tasks that the current pass lets wait for the rack.
    pub(super) fn waiting(&self) -> Amount {
        self.waiting
    }

    fn add(&mut self, placed: &Placed) {
        let Some(ends_at) = placed.ends_at else { return };
        let amount = Amount::from(&placed.need);
        let sum = self.ends.entry(interval(ends_at)).or_default();
        *sum = sum.plus(&amount);
        self.ending = self.ending.plus(&amount);
    }

    fn remove(&mut self, placed: &Placed) {
        let Some(ends_at) = placed.ends_at else { return };
        let amount = Amount::from(&placed.need);
        if let Some(sum) = self.ends.get_mut(&interval(ends_at)) {
            *sum = sum.minus(&amount);
            if *sum == Amount::default() {
                self.ends.remove(&interval(ends_at));
            }
        }
        self.ending = self.ending.minus(&amount);
    }
}

/// Returns what a task of `step` uses, thousandths of a processor times milliseconds.
#[allow(clippy::cast_precision_loss)]
fn work_of(step: &Step) -> f64 {
    f64::from(step.need.millicores) * step.estimate_ms as f64
}

/// Returns the number of the interval that contains `at`.
fn interval(at: Time) -> u64 {
    at.as_millis() / RESOLUTION_MS
}

/// The sums of the racks that tasks have named.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Racks {
    racks: HashMap<Key, Rack>,
    /// Racks for which tasks wait in the current pass.
    waited_for: Vec<Key>,
}

impl Racks {
    /// Returns the sums of a rack.
    pub(super) fn get(&self, key: &Key) -> Option<&Rack> {
        self.racks.get(key)
    }

    /// Forgets what waited in the previous pass.
    pub(super) fn begin_pass(&mut self) {
        for key in self.waited_for.drain(..) {
            if let Some(rack) = self.racks.get_mut(&key) {
                rack.waiting = Amount::default();
            }
        }
    }

    /// Adds what waits for a rack in the current pass.
    pub(super) fn add_waiting(&mut self, key: &Key, amount: &Amount) {
        if let Some(rack) = self.racks.get_mut(key) {
            if rack.waiting == Amount::default() {
                self.waited_for.push(key.clone());
            }
            rack.waiting = rack.waiting.plus(amount);
        }
    }

    /// Counts a task of `step` that has come for a rack.
    pub(super) fn add_arrival(&mut self, key: &Key, step: &Step, now: Time) {
        if let Some(rack) = self.racks.get_mut(key) {
            rack.add_arrival(step, now);
        }
    }

    /// Returns whether each rack has the sums that the runs of `workers` give.
    pub(super) fn agrees_with(&self, workers: &BTreeMap<Name, Worker>) -> bool {
        let mut rebuilt = Self { waited_for: self.waited_for.clone(), ..Self::default() };
        for (key, rack) in &self.racks {
            let rack = Rack { ends: BTreeMap::new(), ending: Amount::default(), ..rack.clone() };
            rebuilt.racks.insert(key.clone(), rack);
        }
        for worker in workers.values() {
            if worker.counted != rebuilt.key_of(worker) {
                return false;
            }
            let Some(rack) = worker.counted.as_ref().and_then(|key| rebuilt.racks.get_mut(key))
            else {
                continue;
            };
            for placed in worker.placed.values() {
                rack.add(placed);
            }
        }
        *self == rebuilt
    }

    /// Returns the rack for which the runs of `worker` count: none if nothing can start there when
    /// they end, or if its agent is silent.
    fn key_of(&self, worker: &Worker) -> Option<Key> {
        let key = worker.rank.as_ref().filter(|_| !worker.quiet)?.key()?;
        self.racks.contains_key(&key).then_some(key)
    }
}

impl Table {
    /// Keeps the sums of a rack from now on.
    pub(super) fn track_rack(&mut self, key: &Key) {
        if self.racks.racks.contains_key(key) {
            return;
        }
        // Jobs may name any number of racks that do not exist.
        let Some(near) = self.ranking.near(&key.0, &key.1) else { return };
        let agents: Vec<Name> = near.iter().map(|(_, agent)| agent.clone()).collect();
        self.racks.racks.insert(key.clone(), Rack::default());
        for agent in agents {
            self.update_rack(&agent);
        }
    }

    /// Moves the runs of a worker to the rack for which they count.
    pub(super) fn update_rack(&mut self, agent: &Name) {
        if self.racks.racks.is_empty() {
            return;
        }
        let Some(worker) = self.workers.get(agent) else { return };
        let key = self.racks.key_of(worker);
        if key == worker.counted {
            return;
        }
        let silent_at = worker.last_report.after(self.settings.report_timeout);
        let tasks: Vec<Task> = worker.placed.keys().copied().collect();
        for task in &tasks {
            self.uncount_run(agent, task);
        }
        let Some(worker) = self.workers.get_mut(agent) else { return };
        worker.counted = key;
        if worker.counted.is_some() && !std::mem::replace(&mut worker.silence_timer, true) {
            self.timers.push(silent_at, Timer::Silence(agent.clone()));
        }
        for task in tasks {
            let Some(state) = self.task_state(&task) else { continue };
            if !matches!(state.phase, Phase::Waiting) {
                let ends_at = self.estimated_end(agent, &task, state.begun);
                self.count_run(agent, &task, ends_at);
            }
        }
    }

    /// Stops counting the runs of a worker whose agent is silent.
    pub(super) fn expire_silence(&mut self, agent: &Name, now: Time) {
        let timeout = self.settings.report_timeout;
        let Some(worker) = self.workers.get_mut(agent) else { return };
        let silent_at = worker.last_report.after(timeout);
        if worker.counted.is_some() && !silent_at.passed(now) {
            return self.timers.push(silent_at, Timer::Silence(agent.clone()));
        }
        worker.silence_timer = false;
        worker.quiet = worker.counted.is_some();
        self.update_rack(agent);
    }

    /// Counts a run that was ordered to start at `now`.
    pub(super) fn count_start(&mut self, agent: &Name, task: &Task, now: Time) {
        if !self.racks.racks.is_empty()
            && self.workers.get(agent).is_some_and(|worker| worker.counted.is_some())
        {
            let ends_at = self.estimated_end(agent, task, now);
            self.count_run(agent, task, ends_at);
        }
    }

    /// Corrects the expected end of a run that its worker has listed with `percent` of its work done.
    pub(super) fn count_progress(&mut self, agent: &Name, task: &Task, percent: u8, now: Time) {
        if self.racks.racks.is_empty() {
            return;
        }
        let Some(worker) = self.workers.get(agent).filter(|worker| worker.counted.is_some()) else {
            return;
        };
        let Some(duration) = self.estimated_duration(worker, task) else { return };
        let Some(placed) = worker.placed.get(task) else { return };
        let (since, first) = placed.progress_since.unwrap_or((now, percent));
        let done = percent.saturating_sub(first);
        let left = u32::from(100_u8.saturating_sub(percent));
        let remaining = if done >= LEAST_PROGRESS {
            now.since(since) * left / u32::from(done)
        } else {
            duration * left / 100
        };
        if let Some(worker) = self.workers.get_mut(agent)
            && let Some(placed) = worker.placed.get_mut(task)
        {
            placed.progress_since = Some((since, first));
        }
        self.count_run(agent, task, Some(now.after(remaining)));
    }

    /// Returns when a run that began at `begun` ends by its estimate; `None` if it does not end by
    /// itself or has no estimate.
    fn estimated_end(&self, agent: &Name, task: &Task, begun: Time) -> Option<Time> {
        let worker = self.workers.get(agent)?;
        Some(begun.after(self.estimated_duration(worker, task)?))
    }

    /// Returns the estimated run time of a task at `worker`.
    fn estimated_duration(&self, worker: &Worker, task: &Task) -> Option<Duration> {
        let job = self.jobs.get(&task.job)?;
        job.position(task)?;
        let step = job.step(task);
        if step.long_running || step.target_ms > 0 || step.estimate_ms == 0 {
            return None;
        }
        let duration = Duration::from_millis(step.estimate_ms);
        let rack = worker.profile.as_ref().and_then(|profile| profile.rack.as_ref());
        let far = step.data_rack.is_some() && step.data_rack.as_ref() != rack;
        Some(if far {
            duration.mul_f64(usable_factor(self.settings.spread_factor))
        } else {
            duration
        })
    }

    /// Sets the expected end of a run.
    fn count_run(&mut self, agent: &Name, task: &Task, ends_at: Option<Time>) {
        let Self { workers, racks, .. } = self;
        if racks.racks.is_empty() {
            return;
        }
        let Some(worker) = workers.get_mut(agent) else { return };
        let Some(rack) = worker.counted.as_ref().and_then(|key| racks.racks.get_mut(key)) else {
            return;
        };
        let Some(placed) = worker.placed.get_mut(task) else { return };
        rack.remove(placed);
        placed.ends_at = ends_at;
        rack.add(placed);
    }

    /// Removes a run from the sums of its rack.
    pub(super) fn uncount_run(&mut self, agent: &Name, task: &Task) {
        self.count_run(agent, task, None);
    }
}
