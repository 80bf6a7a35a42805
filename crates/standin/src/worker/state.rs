//! The state of one worker.

use super::execution::Execution;
use super::interference::Interference;
use super::model::{self, Payload};
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
use shallotflow_wire::control::{ActiveRequest, Fault, Key, Listing, Phase, Sample, Start, Task};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Maximum time between two updates of the work in progress.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum number of usage samples that are kept for the agent.
const MAX_SAMPLES: usize = 4_096;

/// The tasks and requests of one worker, and its usage samples.
pub(super) struct State {
    pub(super) settings: Settings,
    pub(super) audit: Audit,
    pub(super) interference: Interference,
    pub(super) rng: SmallRng,
    pub(super) boot: u64,
    pub(super) incarnation: u64,
    pub(super) version: u64,
    pub(super) advanced_at: Time,
    pub(super) sampled_at: Time,
    pub(super) leaving_since: Option<Time>,
    pub(super) tasks: BTreeMap<Key, Execution>,
    pub(super) requests: BTreeMap<Name, Work>,
    pub(super) epochs: HashMap<u32, u64>,
    pub(super) samples: VecDeque<(Time, Sample)>,
}

impl State {
    pub(super) fn new(settings: Settings, audit: Audit) -> Self {
        let now = Monotonic.now();
        Self {
            interference: Interference::new(&settings.disturbances, settings.capacity.millicores),
            rng: SmallRng::seed_from_u64(settings.seed),
            boot: boot(),
            settings,
            audit,
            incarnation: 0,
            version: 1,
            advanced_at: now,
            sampled_at: now,
            leaving_since: None,
            tasks: BTreeMap::new(),
            requests: BTreeMap::new(),
            epochs: HashMap::new(),
            samples: VecDeque::new(),
        }
    }

    pub(super) fn check_incarnation(&self, incarnation: u64) -> Result<()> {
        if incarnation == self.incarnation && incarnation != 0 {
            return Ok(());
        }
        Err(self.fenced(incarnation))
    }

    pub(super) fn fenced(&self, given: u64) -> Fault {
        Fault::Incarnation { given, attached: self.incarnation }
    }

    pub(super) fn execution(&mut self, key: &Key) -> Result<&mut Execution> {
        let unknown = || Fault::UnknownTask { task: key.to_string() };
        self.tasks.get_mut(key).ok_or_else(unknown)
    }

    pub(super) fn listing(&self) -> Listing {
        let running = |(id, work): (&Name, &Work)| ActiveRequest {
            id: id.clone(),
            kind: work.kind.clone(),
            resources: work.reserved,
        };
        Listing {
            version: self.version,
            tasks: self.tasks.values().map(Execution::report).collect(),
            requests: self.requests.iter().map(running).collect(),
        }
    }

    pub(super) fn start(&mut self, call: &Start) -> Result<bool> {
        self.check_incarnation(call.incarnation)?;
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
        self.check_start(&call.resources, &call.key.to_string());
        let worker = self.settings.worker.clone();
        let job = &call.key.job;
        self.audit.record().record_start(&worker, job, call.idempotent, &call.checkpoint);
        let execution = self.prepare(call, deadline);
        self.tasks.insert(call.key.clone(), execution);
        self.version += 1;
        Ok(true)
    }

    pub(super) fn prepare(&mut self, call: &Start, deadline: Time) -> Execution {
        let profile = self.profile(&call.kind);
        let payload = Payload::parse(&call.payload);
        let drawn = model::draw_run_time(&profile, &mut self.rng);
        let run_time_us = payload.run_ms.map_or(drawn, |run_ms| run_ms as f64 * 1_000.0);
        let (done_us, total_us) =
            model::parse_checkpoint(&call.checkpoint).unwrap_or((0.0, run_time_us));
        let usage = Bundle {
            memory_mib: payload.memory_mib.unwrap_or(profile.usage.memory_mib),
            millicores: payload.millicores.unwrap_or(profile.usage.millicores),
            ..call.resources
        };
        let work = Work {
            kind: call.kind.clone(),
            kind_index: self.interference.kind_index(&call.kind),
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
        Execution { task, work, fails, deadline, saved_us, resumed_us: done_us, checkpoints: 0 }
    }

    pub(super) fn admit(&mut self, incarnation: Option<u64>, request: Request) -> Result<()> {
        if let Some(incarnation) = incarnation {
            self.check_incarnation(incarnation)?;
        }
        self.advance();
        self.check_start(&request.resources, &request.id);
        let worker = self.settings.worker.clone();
        self.audit.record().record_request(
            &worker,
            request.request_id.as_ref(),
            request.idempotent,
        );
        let profile = self.profile(&request.kind);
        let drawn = model::draw_run_time(&profile, &mut self.rng);
        let work = Work {
            kind_index: self.interference.kind_index(&request.kind),
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

    /// Records the guarantees that a start with the resources `need` violates.
    pub(super) fn check_start(&self, need: &Bundle, subject: &str) {
        let worker = &self.settings.worker;
        let used = self.active_work().fold(Bundle::default(), |sum, work| sum.plus(&work.reserved));
        let mut record = self.audit.record();
        if !self.settings.capacity.holds(&used.plus(need)) {
            record.violations.capacity_exceeded += 1;
            record
                .add_note(format!("{subject} on {worker} needs {need:?} while {used:?} is in use"));
        }
        let grace = self.settings.leaving_grace;
        let late = self.leaving_since.is_some_and(|since| since.after(grace) < Monotonic.now());
        if late {
            record.violations.started_on_leaving += 1;
            record.add_note(format!("{subject} started on {worker}, which is leaving"));
        }
    }

    pub(super) fn active_work(&self) -> impl Iterator<Item = &Work> {
        let running = self.tasks.values().filter(|execution| !execution.task.phase.is_final());
        running.map(|execution| &execution.work).chain(self.requests.values())
    }

    pub(super) fn profile(&self, kind: &Name) -> Profile {
        let found = self.settings.profiles.iter().find(|profile| profile.kind == *kind);
        found.cloned().unwrap_or_default()
    }

    /// Adds the work done since the last call, at the speeds that applied since then.
    pub(super) fn advance(&mut self) {
        let now = Monotonic.now();
        let elapsed_us = now.since(self.advanced_at).as_micros() as f64;
        self.advanced_at = now;
        let active: Vec<&Work> = self.active_work().collect();
        let slowdowns = self.interference.slowdowns(&active);
        let running = self.tasks.values_mut().filter(|execution| !execution.task.phase.is_final());
        let active = running.map(|execution| &mut execution.work).chain(self.requests.values_mut());
        for (work, slowdown) in active.zip(slowdowns) {
            work.done_us += elapsed_us * work.share() / slowdown;
        }
    }

    /// How long to wait before checking a request again.
    pub(super) fn request_poll_delay(&self, id: &Name) -> Duration {
        let active: Vec<&Work> = self.active_work().collect();
        let Some(work) = self.requests.get(id) else { return Duration::ZERO };
        let Some(index) = active.iter().position(|other| std::ptr::eq(*other, work)) else {
            return Duration::ZERO;
        };
        let remaining_us =
            (work.total_us - work.done_us) * self.interference.slowdowns(&active)[index];
        Duration::from_micros(remaining_us.max(0.0) as u64).min(POLL_INTERVAL)
    }

    pub(super) fn finish(&mut self, key: &Key) {
        let Some(execution) = self.tasks.get(key) else { return };
        if execution.fails {
            return self.end(key, Phase::Failed, "the task failed");
        }
        self.audit.record().record_completion(&key.job);
        self.end(key, Phase::Done, "");
    }

    pub(super) fn end(&mut self, key: &Key, phase: Phase, reason: &str) {
        let Some(execution) = self.tasks.get_mut(key) else { return };
        execution.task.phase = phase;
        execution.task.reason = reason.to_owned();
        self.version += 1;
        let mut record = self.audit.record();
        record.record_end(&key.job);
        if phase == Phase::Evicted {
            record.evictions += 1;
        }
    }

    /// Takes usage samples if a usage period has passed.
    pub(super) fn sample(&mut self) {
        let now = self.advanced_at;
        if now < self.sampled_at.after(self.settings.usage_period) {
            return;
        }
        self.sampled_at = now;
        let used: u64 = self.active_work().map(|work| u64::from(work.usage.memory_mib)).sum();
        if used > u64::from(self.settings.capacity.memory_mib) {
            let mut record = self.audit.record();
            record.violations.memory_exhausted += 1;
            record.add_note(format!(
                "{} uses {used} MiB of memory, more than it has",
                self.settings.worker
            ));
        }
        let running = self.tasks.values().filter(|execution| !execution.task.phase.is_final());
        let keys = running.map(|execution| Some(execution.task.key.clone()));
        let keys = keys.chain(self.requests.values().map(|_| None));
        let active: Vec<&Work> = self.active_work().collect();
        let slowdowns = self.interference.slowdowns(&active);
        let sample = |((work, slowdown), key): ((&&Work, f64), Option<Key>)| Sample {
            at_us: now.as_micros(),
            key,
            kind: work.kind.clone(),
            usage: work.usage,
            slowdown_milli: (slowdown * 1_000.0).round() as u32,
        };
        let samples: Vec<Sample> = active.iter().zip(slowdowns).zip(keys).map(sample).collect();
        self.samples.extend(samples.into_iter().map(|sample| (now, sample)));
        while self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }
}

/// A number that is different after each restart of a worker: the time in nanoseconds.
fn boot() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(1, |since| u64::try_from(since.as_nanos()).unwrap_or(u64::MAX))
}
