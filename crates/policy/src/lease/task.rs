//! State of one leased task at an agent.

use super::Grant;
use shallotflow_core::task::Phase;
use shallotflow_core::time::Time;

/// A task is checkpointed when this fraction of its lease (1/n) is left.
const CHECKPOINT_DIVISOR: u32 = 4;

/// A task that its owner has not settled yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// The grant of the task.
    pub grant: Grant,
    /// The phase of the task.
    pub phase: Phase,
    /// The end of its lease.
    pub deadline: Time,
    /// Time at which it was granted, or found at the worker.
    pub accepted: Time,
    /// Time at which it is checkpointed and stopped unless its lease is renewed before.
    pub checkpoint_at: Time,
    /// Whether its start was sent to the worker.
    pub sent: bool,
    /// Whether it is being stopped, so that its lease is no longer renewed.
    pub stopping: bool,
    /// Time at which its start was sent.
    pub started: Time,
    /// The last checkpoint; empty if none.
    pub checkpoint: String,
    /// Why the task ended unsuccessfully; empty otherwise.
    pub reason: String,
    /// Total run time, milliseconds.
    pub run_ms: u64,
    /// Run time since the last checkpoint, milliseconds.
    pub unsaved_ms: u64,
}

impl Task {
    pub(super) fn new(grant: Grant, deadline: Time, now: Time) -> Self {
        Self {
            checkpoint: grant.checkpoint.clone(),
            grant,
            phase: Phase::Accepted,
            deadline,
            accepted: now,
            checkpoint_at: checkpoint_at(deadline, now),
            sent: false,
            stopping: false,
            started: Time::NEVER,
            reason: String::new(),
            run_ms: 0,
            unsaved_ms: 0,
        }
    }

    /// Whether it runs, or may run because its start was sent.
    pub fn may_run(&self) -> bool {
        self.sent && !self.phase.is_final()
    }

    /// Extends its lease; a lease is never shortened.
    pub(super) fn extend(&mut self, deadline: Time, now: Time) {
        self.deadline = self.deadline.max(deadline);
        self.checkpoint_at = checkpoint_at(self.deadline, now);
    }

    pub(super) fn refuse(&mut self, reason: &str) {
        self.phase = Phase::Refused;
        self.reason = reason.to_owned();
    }
}

/// Returns when to checkpoint a task whose lease, renewed at `now`, ends at `deadline`.
fn checkpoint_at(deadline: Time, now: Time) -> Time {
    deadline.before(deadline.remaining(now) / CHECKPOINT_DIVISOR)
}
