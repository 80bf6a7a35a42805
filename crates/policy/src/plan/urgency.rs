//! The order in which jobs are placed on workers.
//!
//! A burst of large jobs exceeds the capacity of the workers several times for some seconds. In order
//! of arrival, each job would wait until little of its objective is left, and nearly all would end
//! late. Instead, jobs that can no longer end within their objective come after those that can.
//! Among the latter, started jobs come first, then the newest: it has its whole objective left, while
//! the older ones are about to miss theirs anyway.

use super::{Job, Phase};
use shallotflow_core::time::Time;
use std::cmp::Reverse;
use std::time::Duration;

/// A job that takes more than this many times its objective is of no more value.
const MAX_LATE_OBJECTIVES: u32 = 3;

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

    /// Returns the estimated time of the longest chain of remaining steps.
    fn remaining_time(&self) -> Duration {
        let steps = self.spec.steps.len();
        let mut longest = 0;
        let mut chains: Vec<u64> = Vec::with_capacity(steps);
        for (number, step) in self.spec.steps.iter().enumerate() {
            let states = &self.tasks[self.range(0, number)];
            let remaining = states.iter().filter(|state| state.phase != Phase::Done);
            let remaining = remaining
                .map(|state| step.estimate_ms * (100 - u64::from(state.percent.min(100))) / 100);
            let before = step.after.iter().filter_map(|after| chains.get(usize::from(*after)));
            let chain = before.max().copied().unwrap_or(0) + remaining.max().unwrap_or(0);
            chains.push(chain);
            longest = longest.max(chain);
        }
        Duration::from_millis(longest)
    }

    /// Returns the sort key of the job at `now`.
    pub(super) fn urgency(&self, now: Time) -> Urgency {
        // Long-running jobs and repetitions have no time after which they are of no value.
        if self.spec.lasts() || self.spec.repetitions > 0 {
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
