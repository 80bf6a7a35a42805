//! State transitions of a job when an attempt ends.

use super::job::Job;
use super::{ClockReading, Settings};
use crate::injected::{self, Fault};
use shallotflow_core::job::State;
use shallotflow_core::name::Name;

impl Job {
    /// Moves the job to the final state `state`.
    pub(super) fn end(&mut self, state: State, clock: ClockReading) {
        self.record.state = state;
        self.record.finished_unix_ms = Some(clock.unix_ms);
        self.clear_attempt();
    }

    /// Handles an attempt that completed successfully.
    pub(super) fn finish(&mut self, clock: ClockReading) {
        self.end(State::Done, clock);
    }

    /// Handles an attempt that certainly never started.
    pub(super) fn revert_start(&mut self, clock: ClockReading) {
        self.checkpoint_used = false;
        self.requeue(clock);
    }

    /// Queues the job for its next attempt, or ends it if it was cancelled.
    fn requeue(&mut self, clock: ClockReading) {
        if self.record.cancelled && !injected::is_on(Fault::CancelIgnored) {
            return self.end(State::Cancelled, clock);
        }
        self.record.state = State::Queued;
        self.clear_attempt();
    }

    /// Handles an attempt that was certainly stopped from outside before its end.
    pub(super) fn interrupt(&mut self, reason: &str, clock: ClockReading) {
        if self.record.cancelled || self.is_resumable() {
            return self.requeue(clock);
        }
        self.end(State::Unknown { reason: reason.to_owned() }, clock);
    }

    /// Handles an attempt that is certainly not running any more, with unknown progress.
    ///
    /// The attempt may have completed, so only an idempotent job runs again, even if there is a
    /// checkpoint.
    pub(super) fn lose(&mut self, reason: &str, settings: &Settings, clock: ClockReading) {
        if self.record.cancelled {
            return self.requeue(clock);
        }
        if !self.record.spec.idempotent && !injected::is_on(Fault::RerunOfUnknown) {
            return self.end(State::Unknown { reason: reason.to_owned() }, clock);
        }
        self.fail(reason, settings, clock);
    }

    /// Handles an attempt that failed.
    pub(super) fn fail(&mut self, reason: &str, settings: &Settings, clock: ClockReading) {
        self.record.failures += 1;
        let exhausted = self.record.failures >= settings.failures_max;
        let rerun = injected::is_on(Fault::RetryOfFailed) || injected::is_on(Fault::RerunOfUnknown);
        let may_retry = (self.record.spec.idempotent || rerun) && !exhausted;
        if !self.record.cancelled && !may_retry {
            return self.end(State::Failed { reason: reason.to_owned() }, clock);
        }
        self.not_before = self.retry_at(settings, clock.now);
        if let State::Started { worker, .. } = &self.record.state {
            self.avoid = Some(worker.clone());
        }
        self.requeue(clock);
    }

    /// Records a new checkpoint that the worker has.
    pub(super) fn acknowledge(&mut self, checkpoint: &Option<Name>) {
        if checkpoint.is_some() && self.record.checkpoint != *checkpoint {
            self.record.checkpoint.clone_from(checkpoint);
            self.checkpoint_used = false;
        }
    }

    fn clear_attempt(&mut self) {
        self.granted_on = None;
        self.listed = false;
    }
}
