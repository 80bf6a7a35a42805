//! Sums over the best-effort jobs of queues with an objective, and the rate at which they are done.
//!
//! Each job stores what it adds to the sums, so that a change of one job costs the same whatever the
//! table holds.

use super::table::Table;
use super::urgency::Lateness;
use super::{Settings, Worker};
use foldhash::{HashMap, HashMapExt};
use shallotflow_core::graph::Id;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::BTreeMap;

/// What one job adds to the sums.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Part {
    service: Name,
    priority: u32,
    queue: Name,
    /// Remaining work, processor-milliseconds.
    work: u64,
    begun: bool,
    /// Whether it has begun, can end in time, and tasks of it wait.
    waits: bool,
}

/// Sums over the jobs of one queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Sum {
    /// Number of jobs.
    pub(super) jobs: u64,
    /// Number of jobs that have begun.
    pub(super) open: u64,
    /// Remaining work of all jobs that can still be of value, processor-milliseconds.
    pub(super) work: u64,
    /// The part of it in begun jobs.
    pub(super) begun: u64,
}

/// What one worker adds to the sums of its service, thousandths of a processor.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Offer {
    service: Name,
    spare: u64,
    idle: u64,
    capacity: u64,
    reserved: u64,
}

/// The rate of useful work at one service, and the sums of its queues.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Share {
    /// Sums by priority and queue.
    pub(super) queues: BTreeMap<(u32, Name), Sum>,
    /// Number of begun jobs that can end in time and of which tasks wait.
    pub(super) waiting: u64,
    /// Processors that the workers leave to best-effort tasks, thousandths of a processor.
    pub(super) spare: u64,
    /// Those of them that no task is expected to use.
    pub(super) idle: u64,
    /// Processors of the workers, also of those that get no tasks at present, thousandths of a processor.
    capacity: u64,
    /// Those of them that tasks reserve.
    reserved: u64,
    /// Work completed since the rate was last updated, processor-milliseconds.
    completed: u64,
    /// Measured rate, thousandths of a processor; none before tasks have waited for some time.
    measured: Option<f64>,
    /// Since when tasks have waited.
    waiting_since: Option<Time>,
    updated: Time,
}

impl Share {
    /// Returns the rate of useful work, thousandths of a processor.
    #[allow(clippy::cast_precision_loss)]
    pub(super) fn rate(&self) -> f64 {
        self.measured.unwrap_or(self.spare as f64).max(self.idle as f64)
    }

    /// Returns whether less than half of the processors are in use as callers count it: what tasks
    /// reserve. Best-effort tasks reserve none.
    pub(super) fn is_half_free(&self) -> bool {
        self.reserved * 2 < self.capacity
    }

    /// Adds what one worker offers.
    fn add(&mut self, offer: &Offer) {
        self.spare += offer.spare;
        self.idle += offer.idle;
        self.capacity += offer.capacity;
        self.reserved += offer.reserved;
    }

    /// Removes what was added for one worker.
    fn remove(&mut self, offer: &Offer) {
        self.spare -= offer.spare;
        self.idle -= offer.idle;
        self.capacity -= offer.capacity;
        self.reserved -= offer.reserved;
    }

    /// Updates the measured rate at `now`.
    #[allow(clippy::cast_precision_loss)]
    fn measure(&mut self, settings: &Settings, now: Time) {
        let since = if self.waiting == 0 { None } else { Some(self.waiting_since.unwrap_or(now)) };
        self.waiting_since = since;
        let span = now.since(self.updated);
        if span < settings.rate_interval {
            return;
        }
        self.updated = now;
        let completed = std::mem::take(&mut self.completed) as f64;
        let spare = self.spare as f64;
        // Work that ends just after tasks began to wait was started while fewer ran.
        let observed = match since {
            Some(since) if since.after(settings.rate_delay).passed(now) => {
                completed * 1_000.0 / (span.as_secs_f64() * 1_000.0).max(1.0)
            }
            Some(_) => return,
            None => spare,
        };
        let memory = settings.rate_memory.as_secs_f64().max(f64::EPSILON);
        let weight = 1.0 - (-span.as_secs_f64() / memory).exp();
        let former = self.measured.unwrap_or(spare);
        self.measured = Some(former + weight * (observed - former));
    }
}

/// The sums of all services.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Backlogs {
    pub(super) services: BTreeMap<Name, Share>,
    /// Number of changes of the sums.
    pub(super) version: u64,
    parts: HashMap<Id, Part>,
    workers: HashMap<Name, Offer>,
}

impl Backlogs {
    pub(super) fn new() -> Self {
        Self {
            services: BTreeMap::new(),
            version: 0,
            parts: HashMap::new(),
            workers: HashMap::new(),
        }
    }

    /// Replaces what the job `id` adds to the sums.
    fn replace(&mut self, id: Id, part: Option<Part>) {
        let former = match &part {
            Some(part) if self.parts.get(&id) == Some(part) => return,
            Some(part) => self.parts.insert(id, part.clone()),
            None => self.parts.remove(&id),
        };
        if former.is_none() && part.is_none() {
            return;
        }
        self.version += 1;
        if let Some(former) = former
            && let Some(share) = self.services.get_mut(&former.service)
        {
            let key = (former.priority, former.queue);
            if let Some(sum) = share.queues.get_mut(&key) {
                sum.jobs -= 1;
                sum.work -= former.work;
                sum.open -= u64::from(former.begun);
                sum.begun -= if former.begun { former.work } else { 0 };
                if sum.jobs == 0 {
                    share.queues.remove(&key);
                }
            }
            share.waiting -= u64::from(former.waits);
        }
        let Some(part) = part else { return };
        let share = self.services.entry(part.service).or_default();
        let sum = share.queues.entry((part.priority, part.queue)).or_default();
        sum.jobs += 1;
        sum.work += part.work;
        sum.open += u64::from(part.begun);
        sum.begun += if part.begun { part.work } else { 0 };
        share.waiting += u64::from(part.waits);
    }

    /// Replaces what the worker of `agent` adds to the sums of its service.
    pub(super) fn update_worker(&mut self, agent: &Name, worker: &Worker, settings: &Settings) {
        // The profile of a machine that is gone outlives its last lease.
        let exists = !worker.vacant && (worker.synced || worker.is_occupied());
        let present = worker.profile.as_ref().filter(|_| exists);
        let next = present.map(|profile| {
            let (spare, idle) = if worker.rank.is_some() {
                worker.load.spare(&profile.capacity, settings)
            } else {
                (0, 0)
            };
            Offer {
                service: profile.service.clone(),
                spare,
                idle,
                capacity: u64::from(profile.capacity.millicores),
                reserved: worker.load.reserved_millicores(),
            }
        });
        if next.as_ref() == self.workers.get(agent) {
            return;
        }
        let former = match &next {
            Some(next) => self.workers.insert(agent.clone(), next.clone()),
            None => self.workers.remove(agent),
        };
        if let Some(former) = former
            && let Some(share) = self.services.get_mut(&former.service)
        {
            share.remove(&former);
        }
        if let Some(next) = next {
            self.services.entry(next.service.clone()).or_default().add(&next);
        }
    }

    /// Counts completed work, processor-milliseconds.
    pub(super) fn complete(&mut self, service: &Name, work: u64) {
        if let Some(share) = self.services.get_mut(service) {
            share.completed += work;
        }
    }

    /// Updates the rates at `now`.
    pub(super) fn measure(&mut self, settings: &Settings, now: Time) {
        for share in self.services.values_mut() {
            share.measure(settings, now);
        }
    }
}

impl Table {
    /// Brings the sums up to date with the state of the job `id`.
    pub(super) fn update_backlog(&mut self, id: Id, now: Time) {
        let Some(job) = self.jobs.get(&id) else { return };
        let part = (job.ended.is_none() && job.is_deferrable())
            .then(|| (job, job.lateness(now)))
            .filter(|(job, lateness)| job.is_begun() || *lateness != Lateness::TooLate)
            .map(|(job, lateness)| Part {
                service: job.queue.service.clone(),
                priority: job.queue.priority,
                queue: job.queue.name.clone(),
                work: job.remaining_work(),
                begun: job.is_begun(),
                waits: job.is_begun() && lateness == Lateness::OnTime && job.has_open_tasks(),
            });
        self.backlogs.replace(id, part);
    }
}
