//! The order in which jobs get workers.
//!
//! Load pattern: a burst of large jobs brings several times what the workers can do for some
//! seconds. Served in the order of arrival, each job waits until little of its objective is left,
//! and nearly all end late. Here a job that can no longer end within its objective steps behind
//! those that can; of these, jobs that have begun go on, and then the newest goes first, since it
//! has its whole objective left while the older ones run out of theirs anyway.

use super::{Job, Phase};
use shallotflow_core::time::Time;
use std::cmp::Reverse;
use std::time::Duration;

/// A job that takes more than this many objectives earns nothing for being late.
const LATE_OBJECTIVES: u32 = 3;

/// Where a job stands against its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Lateness {
    /// It can end within its objective.
    InTime,
    /// It can end late.
    Late,
    /// It ends too late to earn anything.
    TooLate,
}

/// What jobs are ordered by; lower goes first.
pub(super) type Urgency = (u32, Lateness, bool, Reverse<Time>);

impl Job {
    /// When the job has to end, by its queue's objective.
    pub(super) fn objective(&self) -> Duration {
        let target = Duration::from_millis(self.queue.target_ms);
        let chain = Duration::from_millis(self.critical_path_ms());
        chain.mul_f64(self.queue.stretch.clamp(0.0, 1_000.0)) + target
    }

    /// The longest chain of estimated run times that is left.
    fn remaining_time(&self) -> Duration {
        let steps = self.spec.steps.len();
        let mut longest = 0;
        let mut chains: Vec<u64> = Vec::with_capacity(steps);
        for (number, step) in self.spec.steps.iter().enumerate() {
            let rows = &self.tasks[self.range(0, number)];
            let left = rows.iter().filter(|row| row.phase != Phase::Done);
            let left =
                left.map(|row| step.estimate_ms * (100 - u64::from(row.percent.min(100))) / 100);
            let before = step.after.iter().filter_map(|after| chains.get(usize::from(*after)));
            let chain = before.max().copied().unwrap_or(0) + left.max().unwrap_or(0);
            chains.push(chain);
            longest = longest.max(chain);
        }
        Duration::from_millis(longest)
    }

    /// What the job is ordered by at `now`.
    pub(super) fn urgency(&self, now: Time) -> Urgency {
        // Lasting jobs and repetitions are owed their work at any time.
        if self.spec.is_long_running() || self.spec.repetitions > 0 {
            return (self.queue.priority, Lateness::InTime, false, Reverse(self.received));
        }
        let objective = self.objective();
        let end = now.after(self.remaining_time());
        let outlook = if end <= self.received.after(objective) {
            Lateness::InTime
        } else if end <= self.received.after(objective * LATE_OBJECTIVES) {
            Lateness::Late
        } else {
            Lateness::TooLate
        };
        (self.queue.priority, outlook, !self.started, Reverse(self.received))
    }
}
