//! The backlog that the owner advertises, by which entries refuse jobs without asking it.

use super::durations::Durations;
use super::opening::drain;
use super::urgency::MAX_LATE_OBJECTIVES;
use super::{Job, Settings, Table};
use serde::{Deserialize, Serialize};
use shallotflow_core::graph::{self, Id};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::time::Duration;

/// Accepted work of one queue that can still be of value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Line {
    pub(super) service: Name,
    pub(super) priority: u32,
    pub(super) queue: Name,
    /// Remaining work, processor-milliseconds.
    pub(super) work: u64,
    /// Rate of useful work of the service, thousandths of a processor.
    pub(super) rate: f64,
}

/// The accepted work by service, priority and queue, and the rates at which it is done, as the owner
/// advertises it to entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Backlog {
    /// Epoch of the owner; 0 if there is none.
    pub epoch: u64,
    /// Number of changes of the owner's sums.
    pub version: u64,
    /// For how long it is valid from its receipt on, milliseconds; 0 if it is not valid at all.
    pub valid_ms: u64,
    lines: Vec<Line>,
    durations: Durations,
}

impl Backlog {
    /// Returns whether it says nothing, so that a status can leave it out.
    pub fn is_default(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the longest expected time in which the work of any priority of a service is done,
    /// including that of higher priorities.
    pub fn longest_drain(&self) -> Duration {
        let spans = self.lines.iter().map(|line| {
            let preceding = self
                .lines
                .iter()
                .filter(|other| other.service == line.service && other.priority <= line.priority);
            drain(preceding.map(|other| other.work).sum(), line.rate).span
        });
        spans.max().unwrap_or(Duration::ZERO)
    }

    /// Returns how long after the limit of three objectives `job` is expected to end if it is
    /// submitted now and `promised` processor-milliseconds more precede it in its queue; `None` if it
    /// can end before.
    pub fn excess(&self, job: &graph::Job, promised: u64, settings: &Settings) -> Option<Duration> {
        if !settings.refuses_jobs {
            return None;
        }
        let job = self.describe(job, settings)?;
        let (queue, priority) = (&job.queue.name, job.queue.priority);
        let own_service = self.lines.iter().filter(|line| line.service == job.queue.service);
        let (mut preceding, mut own, mut queues) = (0_u64, 0_u64, 0_u64);
        let mut rate = 0.0;
        for line in own_service {
            rate = line.rate;
            if line.priority < priority {
                preceding = preceding.saturating_add(line.work);
            } else if line.priority == priority {
                queues += 1;
                if line.queue == *queue {
                    own = line.work;
                }
            }
        }
        // A queue without accepted work has no backlog of its own.
        if own == 0 {
            return None;
        }
        let own = own.saturating_add(promised).saturating_mul(queues);
        let end = drain(preceding.saturating_add(own), rate).span + job.remaining_time();
        let limit = job.objective() * MAX_LATE_OBJECTIVES;
        end.checked_sub(limit).filter(|excess| !excess.is_zero())
    }

    /// Returns the expected work of `job`, processor-milliseconds.
    pub(super) fn work(&self, job: &graph::Job, settings: &Settings) -> u64 {
        self.describe(job, settings).map_or(0, |job| job.remaining_work())
    }

    /// Returns `job` with its learned durations, if it has an objective and best-effort steps.
    fn describe(&self, job: &graph::Job, settings: &Settings) -> Option<Job> {
        // Only the counts of tasks matter, so the states of the tasks are not needed.
        let mut job = Job::new(Id(0), job.clone(), Time::ZERO);
        if !job.is_deferrable() {
            return None;
        }
        if settings.learns_durations {
            let steps = job.spec.steps.iter();
            let name = &job.queue.name;
            let expected = steps.map(|step| self.durations.expected_ms(name, step, settings));
            job.durations_ms = expected.collect();
        }
        Some(job)
    }
}

impl Table {
    /// Returns the backlog to advertise to entries: none where they refuse no jobs by it.
    pub fn advertisement(&self) -> Backlog {
        if self.settings.refuses_jobs { self.backlog() } else { Backlog::default() }
    }

    /// Returns the accepted work. Its cost grows with the number of queues, not of jobs.
    pub fn backlog(&self) -> Backlog {
        let services = self.backlogs.services.iter();
        let lines = services.flat_map(|(service, share)| {
            share.queues.iter().map(move |((priority, queue), sum)| Line {
                service: service.clone(),
                priority: *priority,
                queue: queue.clone(),
                work: sum.work,
                rate: share.rate(),
            })
        });
        let valid_ms = self.settings.advertisement_valid.as_millis();
        Backlog {
            epoch: self.epoch,
            version: self.backlogs.version,
            valid_ms: u64::try_from(valid_ms).unwrap_or(u64::MAX),
            lines: lines.collect(),
            durations: self.durations.clone(),
        }
    }

    /// Returns the number of best-effort jobs of queues with an objective that have begun.
    pub fn open_jobs(&self) -> u64 {
        let shares = self.backlogs.services.values();
        shares.flat_map(|share| share.queues.values()).map(|sum| sum.open).sum()
    }
}
