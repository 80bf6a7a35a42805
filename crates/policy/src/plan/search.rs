use super::cold::COLD_BASE;
use super::demand::Demand;
use super::locality::{Decision, Locality};
use super::racks::{Amount, Key};
use super::ranking::{List, Pressure};
use super::strength::Strength;
use super::{Job, Table, Worker};
use crate::disturbance::Rates;
use shallotflow_core::graph::{Step, Task};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use std::collections::BTreeSet;
use std::time::Duration;

/// Added to the score of the workers where the task failed or was slowed down last, where its latest
/// start was refused, and that are ejected, so that any other goes first.
const AVOIDED_WORKER_PENALTY: f64 = 10.0;

/// Added to the score for each run of a worker where a task may crash it.
const RUN_AT_RISK_COST: f64 = 4.0;
/// Weight of the expected excess of a serving task over its target, relative to processor use.
const DISTURBANCE_WEIGHT: f64 = 2.0;
/// Weight of the share by which the worker's agent slows tasks of the same image down, relative to
/// processor use.
const SLOWDOWN_WEIGHT: f64 = 2.0;
/// Expected tail latency of a serving task above which disturbance counts, as a share of its target.
/// The remaining share covers the swings of its load.
const DISTURBANCE_THRESHOLD: f64 = 0.65;

/// Expected excess over a target that is within the error of the estimate, as a share of the target.
const TOLERATED_EXCESS: f64 = 0.05;

/// Added to the score of a worker outside the rack that holds the data of the task, so that any with
/// room in the rack goes first unless it would slow the task down.
const FAR_COST: f64 = 1.0;

/// Difference of two scores that can be due to rounding.
pub(super) const ROUNDING: f64 = 1e-9;

/// The worker with the lowest score so far.
struct Choice<'a> {
    score: f64,
    agent: &'a Name,
    pressure: f64,
}

/// The result of a search.
pub(super) enum Outcome {
    /// The best worker, and its expected processor use including the task.
    Worker { agent: Name, pressure: f64, score: f64 },
    /// The task waits for a slot in its rack until this time.
    Wait { until: Time, expected: Duration },
    /// No worker has room for the task.
    Full,
    /// The task would disturb serving tasks wherever there is room.
    Disturbing,
    /// No worker suits the task for another reason.
    Unsuited,
}

/// Beside which other starts a task may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Isolation {
    /// Beside any.
    None,
    /// Beside none, once the runs of the worker have outlived their own starts.
    Awaited,
    /// Beside none: the runs of the worker have outlived their starts.
    Alone,
}

/// What a search has to know about the pass that it belongs to.
#[derive(Clone, Copy)]
pub(super) struct Pass<'a> {
    pub(super) now: Time,
    /// Agents that the store lists as possible holders of runs.
    pub(super) holders: &'a BTreeSet<Name>,
    /// The worker that the task has to leave.
    pub(super) except: Option<&'a Name>,
    /// Racks of the tasks of the step that run or that the pass has placed.
    pub(super) racks: &'a [Option<Name>],
    pub(super) isolation: Isolation,
    /// Number of tasks that need a slot in the rack together; 0 if the task does not wait for one.
    pub(super) members: usize,
    /// Whether its job starves: the task starts wherever there is room for what it reserves.
    pub(super) starved: bool,
}

/// Returns the rack where a task of `step` belongs: that of its data, or that of the other tasks of
/// the step while they have only one.
pub(super) fn rack_of<'a>(step: &'a Step, racks: &'a [Option<Name>]) -> Option<&'a Name> {
    match (&step.data_rack, racks) {
        (Some(rack), _) => Some(rack),
        (None, [rack]) if step.same_rack => rack.as_ref(),
        _ => None,
    }
}

/// The search for the best worker for one task.
///
/// The score of a worker for a task that serves no requests is at least its expected processor use,
/// so the search reads the ranking from the least used worker on and stops at the first that cannot
/// be better than the best one found.
pub(super) struct Search<'a> {
    table: &'a Table,
    pass: Pass<'a>,
    job: &'a Job,
    step: &'a Step,
    task: Task,
    demand: Demand,
    need: Bundle,
    /// Expected processor use of the task, thousandths of a processor.
    extra: f64,
    /// Whether the task may start where it disturbs serving tasks.
    may_interfere: bool,
    /// Added to the score of workers without serving tasks.
    vacant_worker_cost: f64,
    best: Option<Choice<'a>>,
    any_room: bool,
    any_disturbed: bool,
    /// Whether any worker with room was passed over for another reason.
    any_barred: bool,
}

impl<'a> Search<'a> {
    /// Prepares the search for the task at `position` of `job`.
    pub(super) fn new(table: &'a Table, pass: Pass<'a>, job: &'a Job, position: usize) -> Self {
        let task = job.task(position);
        let step = job.step(&task);
        let demand = Demand::of(step);
        let vacant_worker_cost = if step.best_effort {
            Strength::of(step.image.as_ref(), &table.rates, &table.settings)
                .vacant_worker_cost(&table.settings)
        } else {
            0.0
        };
        Self {
            table,
            pass,
            job,
            step,
            task,
            demand,
            need: demand.reserved(),
            extra: demand.expected_use(table.settings.serving_use),
            may_interfere: step.best_effort
                && (pass.starved || table.settings.may_interfere(job, position, pass.now)),
            vacant_worker_cost,
            best: None,
            any_room: false,
            any_disturbed: false,
            any_barred: false,
        }
    }

    /// Searches the workers.
    pub(super) fn run(mut self) -> Outcome {
        let table = self.table;
        let service = &self.job.queue.service;
        let Some(eligible) = table.ranking.eligible(service, self.step) else {
            return Outcome::Unsuited;
        };
        if self.demand.serving || self.pass.isolation != Isolation::None {
            for (_, agent) in eligible {
                self.consider(agent);
            }
        } else {
            let rack = rack_of(self.step, self.pass.racks);
            let near = rack.and_then(|rack| table.ranking.near(service, rack));
            if let Some(near) = near {
                self.scan(near, 1.0, 0.0);
            }
            let has_room = self.best.is_some();
            let barred = self.any_barred;
            let (factor, cost) = if self.step.data_rack.is_some() {
                (table.settings.spread_factor, self.far_cost())
            } else {
                (1.0, if rack.is_some() { table.settings.spread_factor } else { 0.0 })
            };
            self.scan(eligible, factor, cost);
            if let (Some(near), Some(rack)) = (near, rack)
                && !has_room
                && !barred
                && let Some(wait) = self.wait(near, rack)
            {
                return wait;
            }
        }
        self.outcome()
    }

    /// Searches all workers of the table.
    pub(super) fn run_over_all(mut self) -> Outcome {
        for (agent, worker) in &self.table.workers {
            let service = worker.profile.as_ref().map(|profile| &profile.service);
            if service == Some(&self.job.queue.service) {
                self.consider(agent);
            }
        }
        self.outcome()
    }

    /// Returns the outcome if the task, for which there is no room in `rack` but elsewhere, waits for
    /// a slot at one of the workers in `near`.
    fn wait(&self, near: &List, rack: &Name) -> Option<Outcome> {
        let Self { table, step, .. } = *self;
        if self.pass.members == 0
            || self.pass.starved
            || self.best.is_none()
            || step.estimate_ms == 0
        {
            return None;
        }
        let profiles = near.iter().filter_map(|(_, agent)| table.workers.get(agent));
        let mut profiles = profiles.filter_map(|worker| worker.profile.as_ref());
        // The sums count the runs of all workers of the rack, so each has to suit the task.
        let suited = profiles.all(|profile| {
            profile.capacity.holds(&self.need)
                && step.required_label.as_ref().is_none_or(|label| profile.labels.contains(label))
        });
        if !suited || step.long_running {
            return None;
        }
        let key: Key = (self.job.queue.service.clone(), rack.clone());
        let duration = Duration::from_millis(step.estimate_ms);
        let now = self.pass.now;
        let need = Amount::of(step, self.pass.members);
        let sums = table.racks.get(&key)?;
        let expected = sums.expected_wait(&need, duration, now)?;
        let state = &self.job.tasks[self.job.position(&self.task)?];
        let (arrival_rate, demand) = sums.arrivals(step, state.ready_since, now);
        let locality = Locality {
            now,
            ready_since: state.ready_since,
            duration,
            spread_factor: table.settings.spread_factor,
            latest_start: self.job.latest_start(usize::from(self.task.step)),
            has_room: false,
            expected_wait: Some(expected),
            arrival_rate,
            demand,
        };
        match locality.decide() {
            Decision::Wait(until) => Some(Outcome::Wait { until, expected }),
            Decision::Here | Decision::Elsewhere => None,
        }
    }

    /// Returns what is added to the score of a worker outside the rack of the data. A run that moves
    /// has its place already, which is no better.
    fn far_cost(&self) -> f64 {
        if self.pass.except.is_some() { 0.0 } else { FAR_COST }
    }

    fn outcome(self) -> Outcome {
        match self.best {
            Some(Choice { score, agent, pressure }) => {
                Outcome::Worker { agent: agent.clone(), pressure, score }
            }
            None if !self.any_room => Outcome::Full,
            None if self.any_disturbed => Outcome::Disturbing,
            None => Outcome::Unsuited,
        }
    }

    /// Considers the workers of `list` that can be better than the best one found. The score of a
    /// worker that was not considered before is at least `factor` times its expected use plus `cost`.
    fn scan(&mut self, list: &'a List, factor: f64, cost: f64) {
        let settings = &self.table.settings;
        let largest = self.table.sizes.largest(&self.job.queue.service);
        let least_extra = self.extra / f64::from(largest.millicores.max(1));
        let mut workers = list.range::<(Pressure, Name), _>(..);
        while let Some((pressure, agent)) = workers.next() {
            let pressure = pressure.share();
            let bound = (pressure + least_extra) * factor + cost;
            if self.best.as_ref().is_some_and(|best| best.score <= bound + ROUNDING) {
                return;
            }
            if self.step.best_effort
                && !self.pass.starved
                && pressure > settings.best_effort_limit
                && pressure < COLD_BASE
            {
                // All further workers in the list exceed the limit as well, except cold ones, and only
                // best-effort tasks can use a worker beyond its capacity.
                self.any_room = true;
                let Some((last, _)) = list.last() else { return };
                if last.share() < COLD_BASE {
                    return;
                }
                workers = list.range((Pressure::of(COLD_BASE), Name::from(""))..);
                continue;
            }
            self.consider(agent);
        }
    }

    fn consider(&mut self, agent: &'a Name) {
        let Some(worker) = self.table.workers.get(agent) else { return };
        let Some((score, pressure)) = self.score(agent, worker) else { return };
        if self.best.as_ref().is_none_or(|best| score < best.score) {
            self.best = Some(Choice { score, agent, pressure });
        }
    }

    /// Returns the score of a worker, lower is better, and its expected processor use with the task;
    /// `None` if the task cannot go there.
    fn score(&mut self, agent: &Name, worker: &Worker) -> Option<(f64, f64)> {
        let Self { table, step, .. } = *self;
        let Pass { now, holders, except, racks, isolation, starved, .. } = self.pass;
        let settings = &table.settings;
        let profile = worker.profile.as_ref()?;
        let capacity = profile.capacity;
        if !worker.load.has_room(&capacity, &self.need) {
            return None;
        }
        // An ejected worker gets nothing, as waiting for a full worker is better, unless callers miss the
        // job.
        let ejected = !worker.ejected_until.passed(now);
        if !worker.accepts_tasks(now, settings.report_timeout)
            || (ejected && !starved)
            || !holders.contains(agent)
            || except == Some(agent)
            || !step.required_label.as_ref().is_none_or(|label| profile.labels.contains(label))
        {
            return None;
        }
        self.any_room = true;
        if !table.admits(agent, &self.task, now)
            || (isolation == Isolation::Alone && !table.is_settled(agent))
        {
            self.any_barred = true;
            return None;
        }
        if step.per_worker > 0 && worker.siblings(&self.task) >= step.per_worker as usize {
            self.any_barred = true;
            return None;
        }
        let pressure = worker.load.pressure(self.extra, &capacity, settings);
        if step.best_effort
            && !starved
            && pressure > settings.best_effort_limit
            && worker.load.has_best_effort()
        {
            return None;
        }
        let mut score = if self.demand.serving {
            let before = worker.load.pressure(0.0, &capacity, settings);
            worker.load.serving_cost(step.image.as_ref(), before)
        } else if step.best_effort {
            let excess = self.target_excess(worker, capacity);
            // A missed target costs a serving task more than a best-effort task gains.
            if excess > TOLERATED_EXCESS && !self.may_interfere {
                self.any_disturbed = true;
                self.any_barred = true;
                return None;
            }
            let slowdown = worker.slowdown(step.image.as_ref());
            let vacant = worker.load.serving.is_empty();
            let vacant_cost = if vacant { self.vacant_worker_cost } else { 0.0 };
            pressure + DISTURBANCE_WEIGHT * excess + SLOWDOWN_WEIGHT * slowdown + vacant_cost
        } else {
            pressure
        };
        score += worker.cold_cost();
        if isolation != Isolation::None {
            // The fewest runs to lose come first, then the usual order.
            score += RUN_AT_RISK_COST
                * f64::from(u32::try_from(worker.placed.len()).unwrap_or(u32::MAX));
        }
        if step.data_rack.is_some() && step.data_rack != profile.rack {
            score = score * settings.spread_factor + self.far_cost();
        }
        if step.same_rack && racks.iter().any(|rack| *rack != profile.rack) {
            score += settings.spread_factor;
        }
        let state = &self.job.tasks[self.job.position(&self.task)?];
        let avoided = [&state.avoided, &state.refused_by];
        if ejected || avoided.into_iter().flatten().any(|avoided| avoided == agent) {
            score += AVOIDED_WORKER_PENALTY;
        }
        Some((score, pressure))
    }

    /// Returns how far serving tasks on the worker would exceed their targets with the best-effort
    /// task added, as a share of the target.
    fn target_excess(&self, worker: &Worker, capacity: Bundle) -> f64 {
        let Some(image) = &self.step.image else { return 0.0 };
        let rates = &self.table.rates;
        let share = f64::from(self.step.need.millicores) / f64::from(capacity.millicores.max(1));
        let serving = worker.placed.values().filter(|placed| placed.target_ms > 0);
        let excess = serving.map(|placed| {
            let victim = placed.image_name();
            let expected = rates.expected(&victim, worker.load.best_effort(capacity));
            let before = expected.max(placed.target_ratio());
            let after = Rates::raised(before, rates.added(&victim, image) * share);
            // Of a target that is exceeded already, only the added part counts.
            (after - DISTURBANCE_THRESHOLD).clamp(0.0, (after - before).max(0.0))
        });
        excess.fold(0.0, f64::max)
    }
}
