//! The order in which jobs are placed on workers.
//!
//! A burst of large jobs exceeds the capacity of the workers several times for some seconds. In order
//! of arrival, each job would wait until little of its objective is left, and nearly all would end
//! late. Instead, jobs that can no longer end within their objective come after those that can.
//!
//! Among best-effort jobs of queues with an objective, those with the least remaining work come
//! first: the sum of the times until their ends is the lowest in this order, and begun jobs end
//! before others of their size begin. Of other jobs, begun ones come first, then the newest: it has
//! its whole objective left, while the older ones are about to miss theirs anyway.

use super::{Job, Settings};
use shallotflow_core::time::Time;
use std::cmp::Reverse;
use std::time::Duration;

/// A job that takes more than this many times its objective is of no more value.
pub(super) const MAX_LATE_OBJECTIVES: u32 = 3;

/// Resolution of the weighted work, so that its order survives the rounding.
const WORK_SCALE: f64 = 1e6;

/// The resolution of [`Time`].
const LEAST_SPAN: Duration = Duration::from_micros(1);

/// Whether a job can still meet its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lateness {
    /// It can end within its objective.
    OnTime,
    /// It can end late, within [`MAX_LATE_OBJECTIVES`] objectives.
    Late,
    /// It ends too late to be of value.
    TooLate,
}

/// Sort key of jobs, lowest first: priority of the queue, lateness, whether the job has not begun,
/// remaining work of a begun job weighted by its size, and newest first.
pub(super) type Urgency = (u32, Lateness, bool, u64, Reverse<Time>);

impl Job {
    /// Returns the time in which the job has to end, by its queue's objective.
    pub(super) fn objective(&self) -> Duration {
        let target = Duration::from_millis(self.queue.target_ms);
        let chain = self.longest_chain(|_| true);
        chain.mul_f64(self.queue.stretch.clamp(0.0, 1_000.0)) + target
    }

    /// Returns the expected time of the longest chain of steps that are not done. It counts a step
    /// in full, since the key is used while tasks of the first such step still wait.
    pub(super) fn remaining_time(&self) -> Duration {
        self.longest_chain(|step| self.remaining[step] > 0)
    }

    /// Returns the expected time of the longest chain of dependent steps among those that `counts`.
    fn longest_chain(&self, counts: impl Fn(usize) -> bool) -> Duration {
        let steps = self.spec.steps.len();
        let mut longest = 0;
        let mut chains: Vec<u64> = Vec::with_capacity(steps);
        for (number, step) in self.spec.steps.iter().enumerate() {
            let own = if counts(number) { self.durations_ms[number] } else { 0 };
            let before = step.after.iter().filter_map(|after| chains.get(usize::from(*after)));
            let chain = before.max().copied().unwrap_or(0) + own;
            chains.push(chain);
            longest = longest.max(chain);
        }
        Duration::from_millis(longest)
    }

    /// Returns the expected work of the best-effort tasks that are not done, processor-milliseconds.
    pub(super) fn remaining_work(&self) -> u64 {
        let steps = self.spec.steps.len();
        let work = self.remaining.iter().enumerate().map(|(slot, remaining)| {
            let number = slot % steps;
            if !self.spec.steps[number].best_effort {
                return 0;
            }
            u64::from(*remaining).saturating_mul(self.task_work(number))
        });
        work.fold(0, u64::saturating_add)
    }

    /// Returns the remaining work of the job, weighted by its size.
    #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn weighted_work(&self, settings: &Settings) -> u64 {
        let steps = 0..self.spec.steps.len();
        let tasks = steps.filter(|step| self.spec.steps[*step].best_effort).map(|step| {
            u64::from(self.spec.steps[step].count).saturating_mul(self.task_work(step))
        });
        let total = tasks.fold(0, u64::saturating_add) as f64;
        let weight = total.max(1.0).powf(settings.size_bias.clamp(0.0, 1.0));
        (self.remaining_work() as f64 / weight * WORK_SCALE) as u64
    }

    /// Returns the expected work of one task of a step, processor-milliseconds.
    pub(super) fn task_work(&self, step: usize) -> u64 {
        let millicores = u64::from(self.spec.steps[step].need.millicores);
        millicores.saturating_mul(self.durations_ms[step]) / 1_000
    }

    /// Returns whether the job has an objective and best-effort steps, so that its start may be
    /// deferred while others use what is idle.
    pub(super) fn is_deferrable(&self) -> bool {
        self.queue.target_ms > 0
            && self.queue.stretch > 0.0
            && self.has_objective()
            && self.spec.steps.iter().any(|step| step.best_effort)
    }

    /// Returns whether the sort key of the job depends on time: long-running jobs and repetitions
    /// have no time after which they are of no value.
    fn has_objective(&self) -> bool {
        !self.spec.is_long_running() && self.spec.repetitions == 0
    }

    /// Returns when the sort key changes next after `now`, if nothing else happens to the job.
    pub(super) fn urgency_changes_at(&self, now: Time) -> Time {
        if !self.has_objective() {
            return Time::NEVER;
        }
        let objective = self.objective();
        let remaining = self.remaining_time();
        [objective, objective * MAX_LATE_OBJECTIVES]
            .into_iter()
            .map(|limit| self.received.after(limit).before(remaining).after(LEAST_SPAN))
            .find(|at| *at > now)
            .unwrap_or(Time::NEVER)
    }

    /// Returns whether the job can still meet its objective if its remaining chain begins at `now`.
    pub(super) fn lateness(&self, now: Time) -> Lateness {
        let objective = self.objective();
        let end = now.after(self.remaining_time());
        if end <= self.received.after(objective) {
            Lateness::OnTime
        } else if end <= self.received.after(objective * MAX_LATE_OBJECTIVES) {
            Lateness::Late
        } else {
            Lateness::TooLate
        }
    }

    /// Returns whether the job has begun: a task was observed to run, or the job was opened.
    pub(super) fn is_begun(&self) -> bool {
        self.started || self.opened
    }

    /// Returns the sort key of the job at `now`.
    pub(super) fn urgency(&self, now: Time, settings: &Settings) -> Urgency {
        let newest = Reverse(self.received);
        if !self.has_objective() {
            return (self.queue.priority, Lateness::OnTime, false, 0, newest);
        }
        let begun = self.is_begun();
        let by_work =
            settings.orders_by_work && self.is_deferrable() && (begun || !settings.begun_first);
        let work = if by_work { self.weighted_work(settings) } else { 0 };
        let begun_first = settings.begun_first || !by_work;
        (self.queue.priority, self.lateness(now), begun_first && !begun, work, newest)
    }
}
