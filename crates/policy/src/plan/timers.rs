use shallotflow_core::graph::{Id, Task};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What has to be looked at when a deadline passes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A start may be unanswered, or a run may have stalled.
    Run(Task),
    /// A run may have been slowed down for long.
    Relocate(Task),
    /// The urgency of a job may have changed.
    Urgency(Id),
    /// An ended job may be removed.
    Forget(Id),
    /// The leases of a worker may have ended.
    Worker(Name),
    /// The agent of a worker may be silent.
    Silence(Name),
    /// A task has waited as long as it may for a slot in its rack.
    Wait,
}

/// Deadlines in order of time.
///
/// A deadline that moves or becomes void stays here: whoever takes it checks the current state, and
/// sets a new timer if the deadline is later now.
#[derive(Clone, Debug, Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(Time, Timer)>>,
}

impl Timers {
    /// Adds a deadline.
    pub(super) fn push(&mut self, at: Time, timer: Timer) {
        if at < Time::NEVER {
            self.heap.push(Reverse((at, timer)));
        }
    }

    /// Removes and returns the earliest deadline that has passed.
    pub(super) fn pop(&mut self, now: Time) -> Option<Timer> {
        let Reverse((at, _)) = self.heap.peek()?;
        if !at.passed(now) {
            return None;
        }
        self.heap.pop().map(|Reverse((_, timer))| timer)
    }
}
