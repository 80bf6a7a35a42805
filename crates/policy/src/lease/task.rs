//! One batch task at an agent.

use super::Grant;
use shallotflow_core::task::Phase;
use shallotflow_core::time::Time;

/// The last part of a lease, one in so many, is left for saving the task.
const SAVE_PART: u32 = 4;

/// A task that its owner has not settled yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Task {
    /// What was granted.
    pub grant: Grant,
    /// How far it has come.
    pub phase: Phase,
    /// Until when it may run without a renewal.
    pub deadline: Time,
    /// When it was granted, or found at the worker.
    pub accepted: Time,
    /// When it is saved unless its lease is renewed before.
    pub save_at: Time,
    /// Whether a start was sent to the worker.
    pub sent: bool,
    /// Whether a stop was ordered.
    pub stopping: bool,
    /// When its start was sent.
    pub started: Time,
    /// The last checkpoint, empty if none.
    pub checkpoint: String,
    /// Why it ended, if not well.
    pub reason: String,
    /// Time spent running, milliseconds.
    pub run_ms: u64,
    /// Time spent running since the last checkpoint, milliseconds.
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
            save_at: save_at(deadline, now),
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

    /// Extends its lease; a lease is never made shorter.
    pub(super) fn extend(&mut self, deadline: Time, now: Time) {
        self.deadline = self.deadline.max(deadline);
        self.save_at = save_at(self.deadline, now);
    }

    pub(super) fn refuse(&mut self, reason: &str) {
        self.phase = Phase::Refused;
        self.reason = reason.to_owned();
    }
}

/// When to save a task whose lease, renewed at `now`, ends at `deadline`.
fn save_at(deadline: Time, now: Time) -> Time {
    deadline.before(deadline.remaining(now) / SAVE_PART)
}
