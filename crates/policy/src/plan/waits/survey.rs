//! Finds the rule that holds each task of an open step which does not run.
//!
//! The rules are those of `place`, in the order in which a pass applies them. A change there needs the
//! same change here.

use super::{Group, Reason, Report, Scope};
use crate::plan::demand::Demand;
use crate::plan::locality::usable_factor;
use crate::plan::message::Status;
use crate::plan::refusals::Refusals;
use crate::plan::search::{Isolation, Outcome, Pass, Search};
use crate::plan::{Job, Phase, Table, TaskState, Worker};
use shallotflow_core::graph::{Id, Step, Task};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

/// A run that no list has shown for this long is reported; a few intervals between two lists.
const UNLISTED: Duration = Duration::from_secs(2);
/// Comparisons of capacities alone that cost as much as one of a search.
const CAPACITIES_PER_COMPARISON: usize = 8;

/// Why a worker does not get a task, from what is closest to a start.
const OBSTACLES: [Reason; 11] = [
    Reason::Kept,
    Reason::Trial,
    Reason::WorkerLimit,
    Reason::Busy,
    Reason::HolderUnrecorded,
    Reason::Refused,
    Reason::Ejected,
    Reason::Silent,
    Reason::Unready,
    Reason::Evacuated,
    Reason::UnknownRun,
];

/// The rule that holds one task.
#[derive(Clone)]
struct Rule<'a> {
    reason: Reason,
    since: Time,
    until: Option<Time>,
    agents: Vec<&'a Name>,
    agent_count: usize,
}

impl<'a> Rule<'a> {
    fn new(reason: Reason, since: Time) -> Self {
        Self { reason, since, until: None, agents: Vec::new(), agent_count: 0 }
    }

    fn until(self, until: Time) -> Self {
        Self { until: Some(until), ..self }
    }

    fn at(self, agents: impl IntoIterator<Item = &'a Name>) -> Self {
        let mut agents = agents.into_iter();
        let named: Vec<&Name> = agents.by_ref().take(Group::MAX_AGENTS).collect();
        let agent_count = named.len() + agents.count();
        Self { agents: named, agent_count, ..self }
    }
}

/// What holds a task before workers are searched for it.
enum State<'a> {
    /// It runs, or is done.
    Runs,
    /// A rule holds it.
    Held(Rule<'a>),
    /// It starts if there is a worker for it; since when it could have been running.
    Free(Time),
}

/// A step with tasks that are not done.
#[derive(Clone, Copy)]
struct Place<'a> {
    job: &'a Job,
    step: &'a Step,
    occurrence: u32,
    number: usize,
    /// When the repetition was due.
    due: Time,
    /// Whether members of the gang are not ready to start.
    incomplete: bool,
    /// Whether a member of the gang has to start alone.
    alone: bool,
}

struct Survey<'a> {
    table: &'a Table,
    scope: &'a Scope<'a>,
    report: Report,
    tasks: usize,
    comparisons: usize,
    /// Demands for which no worker has room.
    full: Refusals,
}

impl Table {
    /// Reports the tasks of open steps that do not run, by the rules that hold them.
    ///
    /// The cost is bounded by the scope and grows with what waits or runs in its jobs, so this is for
    /// a fixed interval and for operators.
    pub fn waits(&self, scope: &Scope<'_>) -> Report {
        let remnants = self.workers.values().map(|worker| worker.remnants.len()).sum();
        let survey = Survey {
            table: self,
            scope,
            report: Report { after: scope.after, remnants, ..Report::default() },
            tasks: 0,
            comparisons: 0,
            full: Refusals::default(),
        };
        survey.run()
    }
}

impl<'a> Survey<'a> {
    fn run(mut self) -> Report {
        let first = self.scope.after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut last = None;
        for (number, id) in self.table.active.range((first, Bound::Unbounded)).enumerate() {
            let bounds = &self.scope.bounds;
            let reached = number >= bounds.jobs
                || self.tasks >= bounds.tasks
                || self.comparisons >= bounds.comparisons
                || self.report.groups.len() >= bounds.groups;
            if reached && number > 0 {
                self.report.last = last;
                break;
            }
            self.add_job(*id);
            last = Some(*id);
        }
        self.report
    }

    fn add_job(&mut self, id: Id) {
        let table = self.table;
        let Some(job) = table.jobs.get(&id) else { return };
        let steps = job.spec.steps.len();
        for occurrence in 0..job.spec.occurrences() {
            let due_ms = job.spec.due_ms(occurrence);
            if due_ms > table.wall_ms {
                return self.add_undue(job, occurrence, due_ms - table.wall_ms);
            }
            let overdue = Duration::from_millis(table.wall_ms - due_ms);
            for number in 0..steps {
                let remaining = job.remaining[occurrence as usize * steps + number];
                if remaining > 0 && job.is_open(occurrence, number) {
                    let place = Place {
                        job,
                        step: &job.spec.steps[number],
                        occurrence,
                        number,
                        due: self.scope.now.before(overdue),
                        incomplete: false,
                        alone: false,
                    };
                    self.add_step(place);
                }
            }
        }
    }

    /// Adds the first repetition of a job that is not due.
    fn add_undue(&mut self, job: &'a Job, occurrence: u32, remaining_ms: u64) {
        let steps = 0..job.spec.steps.len();
        let tasks = steps
            .filter(|step| job.is_open(occurrence, *step))
            .map(|step| job.waiting_tasks(occurrence, step))
            .fold(0, u32::saturating_add);
        if tasks == 0 {
            return;
        }
        let task = Task { job: job.id, occurrence, step: 0, index: 0 };
        let until = self.scope.now.after(Duration::from_millis(remaining_ms));
        let rule = Rule::new(Reason::NotDue, job.received).until(until);
        let group = group_of(task, &rule);
        self.push(Group { tasks, ..group });
    }

    fn add_step(&mut self, place: Place<'a>) {
        let Place { job, step, occurrence, number, .. } = place;
        let now = self.scope.now;
        let range = job.range(occurrence, number);
        self.tasks += range.len();
        let mut place = place;
        if step.gang {
            let is_ready = |state: &TaskState| {
                state.phase == Phase::Waiting
                    && state.retry_at.passed(now)
                    && state.crash_version <= job.recorded
            };
            let members = &job.tasks[range.clone()];
            place.incomplete = !members.iter().all(is_ready);
            place.alone =
                job.suspects > 0 && members.iter().any(|member| member.must_start_alone(now));
        }
        let mut groups: BTreeMap<Reason, Group> = BTreeMap::new();
        let mut free: Vec<(usize, Time)> = Vec::new();
        for position in range {
            match self.state(&place, position) {
                State::Runs => {}
                State::Held(rule) => add(&mut groups, job.task(position), &rule),
                State::Free(since) => free.push((position, since)),
            }
        }
        if step.best_effort {
            free.sort_by_key(|(position, _)| job.tasks[*position].waits_since());
        }
        // A pass tries the tasks in this order, and leaves the others once one finds no worker.
        if let Some((first, _)) = free.first() {
            match self.search(&place, *first) {
                Some(rule) => {
                    for (position, since) in free {
                        add(&mut groups, job.task(position), &Rule { since, ..rule.clone() });
                    }
                }
                None => self.omit(job.id, free.len()),
            }
        }
        for group in groups.into_values() {
            self.push(group);
        }
    }

    fn push(&mut self, group: Group) {
        if self.report.groups.len() < self.scope.bounds.groups {
            self.report.groups.push(group);
        } else {
            self.omit(group.task.job, group.tasks as usize);
        }
    }

    fn omit(&mut self, id: Id, tasks: usize) {
        self.report.partial.insert(id);
        self.report.omitted += tasks as u64;
    }

    /// Returns what holds the task at `position` before workers are searched.
    fn state(&self, place: &Place<'a>, position: usize) -> State<'a> {
        let table = self.table;
        let now = self.scope.now;
        let job = place.job;
        let state = &job.tasks[position];
        let since = state.idle_since.unwrap_or(state.ready_since).max(place.due);
        State::Held(match &state.phase {
            Phase::Done => return State::Runs,
            Phase::Running { agent, .. } => {
                let task = job.task(position);
                let worker = table.workers.get(agent);
                let placed = worker.and_then(|worker| worker.placed.get(&task));
                let listed = placed.map_or(Time::ZERO, |placed| placed.listed_at);
                // A list of a worker that does not answer shows nothing.
                let alive_at = worker.map_or(Time::ZERO, |worker| worker.alive_at);
                let listed = listed.min(alive_at).max(state.begun);
                if !listed.after(UNLISTED).passed(now) {
                    return State::Runs;
                }
                let silent = placed.is_some() && alive_at <= listed;
                let reason = if silent { Reason::RunSilent } else { Reason::RunUnlisted };
                Rule::new(reason, listed).at([agent])
            }
            Phase::Uncertain => {
                let missing = table.missing.iter().filter(|(_, empty_at)| !empty_at.passed(now));
                let until = table.missing.values().max().copied();
                let rule = Rule { until, ..Rule::new(Reason::Uncertain, since) };
                rule.at(missing.map(|(agent, _)| agent))
            }
            Phase::Starting { agent, withdraw_at, .. } => {
                Rule::new(Reason::Starting, since).until(*withdraw_at).at([agent])
            }
            Phase::Stopping { agent, .. } => {
                let since = state.idle_since.or(state.stopped_at).unwrap_or(state.ready_since);
                Rule::new(Reason::Stopping, since).at([agent])
            }
            Phase::Waiting => {
                let gang = place.step.gang;
                if table.settings.defers(job) && job.postponed {
                    Rule { until: table.starves_at(job), ..Rule::new(Reason::Postponed, since) }
                } else if state.crash_version > job.recorded {
                    Rule::new(Reason::Unrecorded, since)
                } else if !gang && job.suspects > 0 && state.must_start_alone(now) {
                    Rule::new(Reason::Trial, since).until(state.alone_until)
                } else if !state.retry_at.passed(now) {
                    Rule::new(Reason::Retry, since).until(state.retry_at)
                } else if gang && place.incomplete {
                    Rule::new(Reason::Gang, since)
                } else if !place.alone && job.is_held(now) {
                    Rule::new(Reason::Held, since).until(job.hold_until)
                } else if !self.scope.may_start {
                    Rule::new(Reason::Successor, since)
                } else {
                    return State::Free(since);
                }
            }
        })
    }

    /// Returns why the task at `position`, which no other rule holds, has no worker; `None` once the
    /// comparisons are used up.
    fn search(&mut self, place: &Place<'a>, position: usize) -> Option<Rule<'a>> {
        let Place { job, step, occurrence, number, .. } = *place;
        let table = self.table;
        let now = self.scope.now;
        if self.comparisons >= self.scope.bounds.comparisons {
            return None;
        }
        let TaskState { ready_since, near_wait_since, .. } = job.tasks[position];
        let near_until = near_wait_since.map(|_| {
            let added = usable_factor(table.settings.spread_factor) - 1.0;
            ready_since.after(Duration::from_millis(step.estimate_ms).mul_f64(added))
        });
        let service = &job.queue.service;
        let need = Demand::of(step).reserved();
        if self.full.is_full(service, step, &need) {
            self.comparisons += table.workers.len() / CAPACITIES_PER_COMPARISON;
            let fits = table.workers.values().any(|worker| suits(worker, service, step, &need));
            let reason = if fits { Reason::NoRoom } else { Reason::Unsuited };
            return Some(Rule::new(reason, ready_since));
        }
        let racks =
            if step.same_rack { table.step_racks(job.id, occurrence, number) } else { Vec::new() };
        let isolation = if place.alone { Isolation::Alone } else { Isolation::None };
        let members = if step.gang { job.range(occurrence, number).len() } else { 1 };
        let holders = self.scope.holders;
        let pass =
            Pass { now, holders, except: None, racks: &racks, isolation, members, starved: false };
        self.comparisons += table.workers.len();
        let rule = match Search::new(table, pass, job, position).run() {
            // The sums of the rack count the task itself among those that wait for it.
            Outcome::Worker { .. } if near_until.is_some_and(|until| !until.passed(now)) => {
                Rule { until: near_until, ..Rule::new(Reason::Rack, ready_since) }
            }
            Outcome::Worker { .. } if members > 1 => Rule::new(Reason::GangRoom, ready_since),
            Outcome::Worker { agent, .. } => {
                let agent = table.workers.get_key_value(&agent).map(|(agent, _)| agent);
                Rule::new(Reason::Startable, ready_since).at(agent)
            }
            Outcome::Wait { until, .. } => Rule::new(Reason::Rack, ready_since).until(until),
            Outcome::Disturbing => {
                let rule = Rule::new(Reason::Disturbing, ready_since);
                Rule { until: table.interferes_at(job, position), ..rule }
            }
            Outcome::Full | Outcome::Unsuited => {
                self.comparisons += table.workers.len();
                self.obstacle(place, position, isolation)
            }
        };
        let passed_over = matches!(rule.reason, Reason::Disturbing | Reason::Busy | Reason::Rack);
        let starves_at = table.starves_at(job).filter(|_| passed_over);
        let rule = Rule { until: [rule.until, starves_at].into_iter().flatten().min(), ..rule };
        if rule.reason == Reason::NoRoom {
            self.full.push_full(service, step, need);
        }
        Some(rule)
    }

    /// Returns what keeps the task from the worker that is closest to getting it.
    fn obstacle(&self, place: &Place<'a>, position: usize, isolation: Isolation) -> Rule<'a> {
        let Place { job, step, .. } = *place;
        let since = job.tasks[position].ready_since;
        let need = Demand::of(step).reserved();
        let mut obstacles: BTreeMap<Reason, Vec<&'a Name>> = BTreeMap::new();
        let mut fits = false;
        for (agent, worker) in &self.table.workers {
            if !suits(worker, &job.queue.service, step, &need) {
                continue;
            }
            fits = true;
            if let Some(reason) = self.obstacle_at(agent, worker, place, position, isolation) {
                obstacles.entry(reason).or_default().push(agent);
            }
        }
        for reason in OBSTACLES {
            if let Some(agents) = obstacles.remove(&reason) {
                let until = self.obstacle_ends(reason, &agents);
                return Rule { until, ..Rule::new(reason, since).at(agents) };
            }
        }
        Rule::new(if fits { Reason::NoRoom } else { Reason::Unsuited }, since)
    }

    /// Returns why a worker with room gets no task; `None` if it has no room.
    fn obstacle_at(
        &self,
        agent: &Name,
        worker: &Worker,
        place: &Place<'a>,
        position: usize,
        isolation: Isolation,
    ) -> Option<Reason> {
        let Self { table, scope, .. } = self;
        let Place { job, step, .. } = *place;
        let settings = &table.settings;
        let profile = worker.profile.as_ref()?;
        let (capacity, demand) = (&profile.capacity, Demand::of(step));
        let task = job.task(position);
        let now = scope.now;
        if !worker.load.has_room(capacity, &demand.reserved()) {
            let unknown = worker.load.has_room_but_for_unknown(capacity, &demand.reserved());
            return unknown.then_some(Reason::UnknownRun);
        }
        Some(if worker.evacuated {
            Reason::Evacuated
        } else if profile.status != Status::Ready
            || worker.vacant
            || !worker.synced
            || worker.incarnation.as_ref() != Some(&profile.incarnation)
        {
            Reason::Unready
        } else if worker.last_report.after(settings.report_timeout).passed(now) {
            Reason::Silent
        } else if !worker.paused_until.passed(now) {
            Reason::Refused
        } else if worker.holds_back_starts() {
            Reason::OrdersUnreceived
        } else if worker.is_crowded() {
            Reason::RunLimit
        } else if !worker.ejected_until.passed(now) {
            Reason::Ejected
        } else if !scope.holders.contains(agent) {
            Reason::HolderUnrecorded
        } else if !table.admits(agent, &task, now) {
            Reason::Kept
        } else if isolation == Isolation::Alone && !table.is_settled(agent) {
            Reason::Trial
        } else if step.per_worker > 0 && worker.siblings(&task) >= step.per_worker as usize {
            Reason::WorkerLimit
        } else {
            Reason::Busy
        })
    }

    /// Returns when the first of `agents` may get tasks again, as far as a rule sets that time.
    fn obstacle_ends(&self, reason: Reason, agents: &[&Name]) -> Option<Time> {
        let workers = agents.iter().filter_map(|agent| self.table.workers.get(*agent));
        match reason {
            Reason::Refused => workers.map(|worker| worker.paused_until).min(),
            Reason::Ejected => workers.map(|worker| worker.ejected_until).min(),
            Reason::Kept => {
                let trials = agents.iter().filter_map(|agent| self.table.trials.get(*agent));
                trials.map(|trial| trial.until).min()
            }
            _ => None,
        }
    }
}

/// Returns whether the worker could run a task of `step` if it were empty and ready.
fn suits(worker: &Worker, service: &Name, step: &Step, need: &Bundle) -> bool {
    worker.profile.as_ref().is_some_and(|profile| {
        profile.service == *service
            && profile.capacity.holds(need)
            && step.required_label.as_ref().is_none_or(|label| profile.labels.contains(label))
    })
}

fn group_of(task: Task, rule: &Rule<'_>) -> Group {
    Group {
        task,
        reason: rule.reason,
        tasks: 1,
        since: rule.since,
        until: rule.until,
        agents: rule.agents.iter().map(|agent| (*agent).clone()).collect(),
        agent_count: rule.agent_count,
    }
}

/// Adds a task to the group of its reason. Runs of one step can be at several agents.
fn add(groups: &mut BTreeMap<Reason, Group>, task: Task, rule: &Rule<'_>) {
    let Some(group) = groups.get_mut(&rule.reason) else {
        groups.insert(rule.reason, group_of(task, rule));
        return;
    };
    group.tasks += 1;
    if rule.since < group.since {
        (group.task, group.since, group.until) = (task, rule.since, rule.until);
    }
    for agent in &rule.agents {
        if !group.agents.contains(agent) && group.agents.len() < Group::MAX_AGENTS {
            group.agents.push((*agent).clone());
        }
    }
    group.agent_count = group.agent_count.max(rule.agent_count).max(group.agents.len());
}
