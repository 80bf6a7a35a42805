//! The tables of one worker.

use super::held::Held;
use super::pace::Pace;
use super::plan::{self, Payload};
use super::work::{FULL_SHARE, Work};
use super::{Request, Result};
use crate::audit::Audit;
use foldhash::{HashMap, HashMapExt};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use shallotflow_core::settings::standin::{Profile, Settings};
use shallotflow_core::time::{Clock, Monotonic, Time};
use shallotflow_wire::control::{Fault, Key, Listed, Phase, Running, Sample, Start, Task};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The longest time between two looks at work in progress.
pub(super) const SLICE: Duration = Duration::from_millis(5);
/// Most usage samples that are kept for the agent.
const MAX_SAMPLES: usize = 4_096;

/// What one worker runs, and its account of it.
pub(super) struct State {
    pub(super) settings: Settings,
    pub(super) board: Audit,
    pub(super) pace: Pace,
    pub(super) rng: SmallRng,
    pub(super) boot: u64,
    pub(super) incarnation: u64,
    pub(super) version: u64,
    pub(super) advanced: Time,
    pub(super) sampled: Time,
    pub(super) leaving_since: Option<Time>,
    pub(super) tasks: BTreeMap<Key, Held>,
    pub(super) requests: BTreeMap<Name, Work>,
    pub(super) epochs: HashMap<u32, u64>,
    pub(super) samples: VecDeque<(Time, Sample)>,
}

impl State {
    pub(super) fn new(settings: Settings, board: Audit) -> Self {
        let now = Monotonic.now();
        Self {
            pace: Pace::new(&settings.disturbances, settings.capacity.millicores),
            rng: SmallRng::seed_from_u64(settings.seed),
            boot: boot(),
            settings,
            board,
            incarnation: 0,
            version: 1,
            advanced: now,
            sampled: now,
            leaving_since: None,
            tasks: BTreeMap::new(),
            requests: BTreeMap::new(),
            epochs: HashMap::new(),
            samples: VecDeque::new(),
        }
    }

    pub(super) fn check(&self, incarnation: u64) -> Result<()> {
        if incarnation == self.incarnation && incarnation != 0 {
            return Ok(());
        }
        Err(self.fenced(incarnation))
    }

    pub(super) fn fenced(&self, given: u64) -> Fault {
        Fault::Incarnation { given, attached: self.incarnation }
    }

    pub(super) fn held(&mut self, key: &Key) -> Result<&mut Held> {
        let unknown = || Fault::UnknownTask { task: key.to_string() };
        self.tasks.get_mut(key).ok_or_else(unknown)
    }

    pub(super) fn listed(&self) -> Listed {
        let running = |(id, work): (&Name, &Work)| Running {
            id: id.clone(),
            kind: work.kind.clone(),
            resources: work.reserved,
        };
        Listed {
            version: self.version,
            tasks: self.tasks.values().map(Held::report).collect(),
            requests: self.requests.iter().map(running).collect(),
        }
    }

    pub(super) fn start(&mut self, call: &Start) -> Result<bool> {
        self.check(call.incarnation)?;
        let now = Monotonic.now();
        let ledger = call.key.ledger;
        let seen = self.epochs.entry(ledger).or_default();
        if call.epoch < *seen {
            return Err(Fault::Epoch { ledger, given: call.epoch, seen: *seen });
        }
        *seen = call.epoch;
        if self.tasks.contains_key(&call.key) {
            return Ok(false);
        }
        let deadline = Time::from_micros(call.deadline_us);
        if deadline.passed(now) {
            let late = now.since(deadline).as_micros();
            return Err(Fault::Lapsed { late_us: u64::try_from(late).unwrap_or(u64::MAX) });
        }
        self.advance();
        self.count_start(&call.resources, &call.key.to_string());
        let worker = self.settings.worker.clone();
        let job = &call.key.job;
        self.board.record().start(&worker, job, call.idempotent, &call.checkpoint);
        let held = self.plan(call, deadline);
        self.tasks.insert(call.key.clone(), held);
        self.version += 1;
        Ok(true)
    }

    pub(super) fn plan(&mut self, call: &Start, deadline: Time) -> Held {
        let profile = self.profile(&call.kind);
        let payload = Payload::parse(&call.payload);
        let drawn = plan::draw(&profile, &mut self.rng);
        let named = payload.run_ms.map_or(drawn, |run_ms| run_ms as f64 * 1_000.0);
        let (done_us, total_us) = plan::resume(&call.checkpoint).unwrap_or((0.0, named));
        let usage = Bundle {
            memory_mib: payload.memory_mib.unwrap_or(profile.usage.memory_mib),
            millicores: payload.millicores.unwrap_or(profile.usage.millicores),
            ..call.resources
        };
        let work = Work {
            kind: call.kind.clone(),
            number: self.pace.number(&call.kind),
            reserved: call.resources,
            usage,
            total_us: if self.settings.fails_tasks { 0.0 } else { total_us },
            done_us,
            share_milli: FULL_SHARE,
        };
        let task = Task {
            key: call.key.clone(),
            epoch: call.epoch,
            kind: call.kind.clone(),
            resources: call.resources,
            phase: Phase::Running,
            checkpoint: call.checkpoint.clone(),
            reason: String::new(),
            run_ms: 0,
            unsaved_ms: 0,
            deadline_us: call.deadline_us,
        };
        let fails = payload.fails || self.settings.fails_tasks;
        let saved_us = done_us;
        Held { task, work, fails, deadline, saved_us, resumed_us: done_us, checkpoints: 0 }
    }

    pub(super) fn admit(&mut self, incarnation: Option<u64>, request: Request) -> Result<()> {
        if let Some(incarnation) = incarnation {
            self.check(incarnation)?;
        }
        self.advance();
        self.count_start(&request.resources, &request.id);
        let worker = self.settings.worker.clone();
        self.board.record().request(&worker, request.request_id.as_ref(), request.idempotent);
        let profile = self.profile(&request.kind);
        let drawn = plan::draw(&profile, &mut self.rng);
        let work = Work {
            number: self.pace.number(&request.kind),
            kind: request.kind,
            reserved: request.resources,
            usage: profile.usage,
            total_us: request.run.map_or(drawn, |run| run.as_micros() as f64),
            done_us: 0.0,
            share_milli: FULL_SHARE,
        };
        self.requests.insert(request.id, work);
        Ok(())
    }

    /// Counts the promises that a start with `need` breaks.
    pub(super) fn count_start(&self, need: &Bundle, what: &str) {
        let worker = &self.settings.worker;
        let used = self.works().fold(Bundle::default(), |sum, work| sum.plus(&work.reserved));
        let mut facts = self.board.record();
        if !self.settings.capacity.holds(&used.plus(need)) {
            facts.violations.capacity_exceeded += 1;
            facts.note(format!("{what} on {worker} needs {need:?} beside {used:?}"));
        }
        let grace = self.settings.leaving_grace;
        let late = self.leaving_since.is_some_and(|since| since.after(grace) < Monotonic.now());
        if late {
            facts.violations.started_on_leaving += 1;
            facts.note(format!("{what} started on {worker}, which is leaving"));
        }
    }

    pub(super) fn works(&self) -> impl Iterator<Item = &Work> {
        let running = self.tasks.values().filter(|held| !held.task.phase.is_final());
        running.map(|held| &held.work).chain(self.requests.values())
    }

    pub(super) fn profile(&self, kind: &Name) -> Profile {
        let found = self.settings.profiles.iter().find(|profile| profile.kind == *kind);
        found.cloned().unwrap_or_default()
    }

    /// Adds the work done since the last call at the speeds that held meanwhile.
    pub(super) fn advance(&mut self) {
        let now = Monotonic.now();
        let passed_us = now.since(self.advanced).as_micros() as f64;
        self.advanced = now;
        let works: Vec<&Work> = self.works().collect();
        let slowdowns = self.pace.slowdowns(&works);
        let running = self.tasks.values_mut().filter(|held| !held.task.phase.is_final());
        let works = running.map(|held| &mut held.work).chain(self.requests.values_mut());
        for (work, slowdown) in works.zip(slowdowns) {
            work.done_us += passed_us * work.share() / slowdown;
        }
    }

    /// How long a request sleeps before it is looked at again.
    pub(super) fn wait_request(&self, id: &Name) -> Duration {
        let works: Vec<&Work> = self.works().collect();
        let Some(work) = self.requests.get(id) else { return Duration::ZERO };
        let Some(index) = works.iter().position(|other| std::ptr::eq(*other, work)) else {
            return Duration::ZERO;
        };
        let left_us = (work.total_us - work.done_us) * self.pace.slowdowns(&works)[index];
        Duration::from_micros(left_us.max(0.0) as u64).min(SLICE)
    }

    pub(super) fn finish(&mut self, key: &Key) {
        let Some(held) = self.tasks.get(key) else { return };
        if held.fails {
            return self.end(key, Phase::Failed, "the task failed");
        }
        self.board.record().complete(&key.job);
        self.end(key, Phase::Done, "");
    }

    pub(super) fn end(&mut self, key: &Key, phase: Phase, reason: &str) {
        let Some(held) = self.tasks.get_mut(key) else { return };
        held.task.phase = phase;
        held.task.reason = reason.to_owned();
        self.version += 1;
        let mut facts = self.board.record();
        facts.end(&key.job);
        if phase == Phase::Evicted {
            facts.evictions += 1;
        }
    }

    /// Takes usage samples when they are due.
    pub(super) fn sample(&mut self) {
        let now = self.advanced;
        if now < self.sampled.after(self.settings.usage_period) {
            return;
        }
        self.sampled = now;
        let used: u64 = self.works().map(|work| u64::from(work.usage.memory_mib)).sum();
        if used > u64::from(self.settings.capacity.memory_mib) {
            let mut facts = self.board.record();
            facts.violations.memory_exhausted += 1;
            facts.note(format!("{} uses {used} MiB", self.settings.worker));
        }
        let running = self.tasks.values().filter(|held| !held.task.phase.is_final());
        let keys = running.map(|held| Some(held.task.key.clone()));
        let keys = keys.chain(self.requests.values().map(|_| None));
        let works: Vec<&Work> = self.works().collect();
        let slowdowns = self.pace.slowdowns(&works);
        let sample = |((work, slowdown), key): ((&&Work, f64), Option<Key>)| Sample {
            at_us: now.as_micros(),
            key,
            kind: work.kind.clone(),
            usage: work.usage,
            slowdown_milli: (slowdown * 1_000.0).round() as u32,
        };
        let samples: Vec<Sample> = works.iter().zip(slowdowns).zip(keys).map(sample).collect();
        self.samples.extend(samples.into_iter().map(|sample| (now, sample)));
        while self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }
}

/// A number that differs for each restart of a worker.
fn boot() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(1, |since| u64::try_from(since.as_nanos()).unwrap_or(u64::MAX))
}
