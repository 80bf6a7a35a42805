//! The order in which jobs are placed on workers.
//!
//! A burst of large jobs exceeds the capacity of the workers several times for some seconds. In order
//! of arrival, each job would wait until little of its objective is left, and nearly all would end
//! late. Instead, jobs that can no longer end within their objective come after those that can.
//! Among the latter, started jobs come first, then the newest: it has its whole objective left, while
//! the older ones are about to miss theirs anyway.

use super::Job;
use shallotflow_core::time::Time;
use std::cmp::Reverse;
use std::time::Duration;

/// A job that takes more than this many times its objective is of no more value.
const MAX_LATE_OBJECTIVES: u32 = 3;

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

/// Sort key of jobs, lowest first: priority of the queue, lateness, whether the job has not started,
/// and newest first.
pub(super) type Urgency = (u32, Lateness, bool, Reverse<Time>);

impl Job {
    /// Returns the time in which the job has to end, by its queue's objective.
    pub(super) fn objective(&self) -> Duration {
        let target = Duration::from_millis(self.queue.target_ms);
        let chain = Duration::from_millis(self.critical_path_ms());
        chain.mul_f64(self.queue.stretch.clamp(0.0, 1_000.0)) + target
    }

    /// Returns the estimated time of the longest chain of steps that are not done. It counts a step
    /// in full, since the key is used while tasks of the first such step still wait.
    fn remaining_time(&self) -> Duration {
        let steps = self.spec.steps.len();
        let mut longest = 0;
        let mut chains: Vec<u64> = Vec::with_capacity(steps);
        for (step, remaining) in self.spec.steps.iter().zip(&self.remaining) {
            let own = if *remaining > 0 { step.estimate_ms } else { 0 };
            let before = step.after.iter().filter_map(|after| chains.get(usize::from(*after)));
            let chain = before.max().copied().unwrap_or(0) + own;
            chains.push(chain);
            longest = longest.max(chain);
        }
        Duration::from_millis(longest)
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

    /// Returns the sort key of the job at `now`.
    pub(super) fn urgency(&self, now: Time) -> Urgency {
        if !self.has_objective() {
            return (self.queue.priority, Lateness::OnTime, false, Reverse(self.received));
        }
        let objective = self.objective();
        let end = now.after(self.remaining_time());
        let lateness = if end <= self.received.after(objective) {
            Lateness::OnTime
        } else if end <= self.received.after(objective * MAX_LATE_OBJECTIVES) {
            Lateness::Late
        } else {
            Lateness::TooLate
        };
        (self.queue.priority, lateness, !self.started, Reverse(self.received))
    }
}
