//! Decides when a best-effort job of a queue with an objective begins.
//!
//! Jobs that begin together end together, all of them late. A job begins when it is expected to end
//! within its objective beside those that have begun, and otherwise waits until capacity is idle.

use super::backlog::Share;
use super::event::milliseconds;
use super::{Event, Job, Settings, Table};
use shallotflow_core::graph::Id;
use shallotflow_core::time::Time;
use std::time::Duration;

/// Lowest rate that is assumed, thousandths of a processor, so that the expected time stays finite.
const LEAST_RATE: f64 = 1.0;
/// Longest expected time of a backlog.
const MAX_DRAIN: Duration = Duration::from_secs(24 * 3_600);

/// The expected time in which the work that precedes a job is done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Drain {
    /// Work that precedes it, processor-milliseconds.
    pub(super) work: u64,
    /// Rate of useful work, thousandths of a processor.
    pub(super) rate: f64,
    /// The time in which the work is done.
    pub(super) span: Duration,
}

/// Returns the time in which `work` processor-milliseconds are done at `rate` thousandths of a
/// processor.
#[allow(clippy::cast_precision_loss)]
pub(super) fn drain(work: u64, rate: f64) -> Drain {
    let seconds = work as f64 / rate.max(LEAST_RATE);
    let span = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_DRAIN).min(MAX_DRAIN);
    Drain { work, rate, span }
}

impl Share {
    /// Returns the work in begun jobs that precedes a job of `queue` and `priority`.
    ///
    /// Queues of one priority share the rate evenly, so a queue waits for its own work as many times
    /// as there are queues with jobs: a queue that submits more than its share delays only itself.
    fn preceding(&self, queue: &str, priority: u32) -> u64 {
        let mut preceding = 0;
        let (mut queues, mut own) = (0, 0);
        for ((other, name), sum) in &self.queues {
            if *other < priority {
                preceding += sum.begun;
            } else if *other == priority {
                queues += 1;
                if **name == *queue {
                    own = sum.begun;
                }
            }
        }
        preceding + own * queues
    }
}

impl Settings {
    /// Returns whether a job waits until it is opened.
    pub(super) fn defers(&self, job: &Job) -> bool {
        self.opens_jobs && job.is_deferrable() && !job.is_begun()
    }
}

impl Table {
    /// Returns whether the job `id` may begin at `now`; opens it if it is expected to end within its
    /// objective.
    pub(super) fn may_begin(&mut self, id: Id, now: Time) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        if !self.settings.defers(job) {
            return true;
        }
        let Some(share) = self.backlogs.services.get(&job.queue.service) else { return true };
        let preceding = share.preceding(&job.queue.name, job.queue.priority);
        let drain = drain(preceding, share.rate());
        let wait = drain.span.mul_f64(self.settings.opening_margin.max(0.0));
        let end = now.after(wait).after(job.remaining_time());
        let in_time = end <= job.received.after(job.objective());
        if in_time {
            self.open(id, drain, "it is expected to end within its objective", now);
        } else if !job.postponed {
            self.postpone(id, drain, now);
        }
        in_time
    }

    /// Opens the job `id`, which was postponed, if no task of a begun job that can end in time waits:
    /// capacity is idle. Returns whether it was opened.
    pub(super) fn open_if_idle(&mut self, id: Id, now: Time) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let Some(share) = self.backlogs.services.get(&job.queue.service) else { return false };
        if share.waiting > 0 {
            return false;
        }
        let preceding = share.preceding(&job.queue.name, job.queue.priority);
        self.open(id, drain(preceding, share.rate()), "capacity is idle", now);
        true
    }

    fn open(&mut self, id: Id, drain: Drain, reason: &'static str, now: Time) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.opened = true;
        let event = Event::Opened {
            job: id,
            queue: job.queue.name.clone(),
            reason,
            waited_ms: milliseconds(now.since(job.received)),
            preceding: drain.work,
            rate: drain.rate,
            remaining_ms: milliseconds(job.remaining_time()),
            objective_ms: milliseconds(job.objective()),
        };
        self.events.push(event);
        self.update_ready(id, now);
    }

    fn postpone(&mut self, id: Id, drain: Drain, now: Time) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.postponed = true;
        let event = Event::Postponed {
            job: id,
            queue: job.queue.name.clone(),
            waited_ms: milliseconds(now.since(job.received)),
            preceding: drain.work,
            rate: drain.rate,
            remaining_ms: milliseconds(job.remaining_time()),
            objective_ms: milliseconds(job.objective()),
        };
        self.events.push(event);
    }
}
