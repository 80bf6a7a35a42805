//! The ends of an attempt and what they make of the job.

use super::job::Job;
use super::{ClockReading, Settings};
use crate::injected::{self, Fault};
use shallotflow_core::job::State;
use shallotflow_core::name::Name;

impl Job {
    /// Puts the job in the final state `state`.
    pub(super) fn end(&mut self, state: State, moment: ClockReading) {
        self.record.state = state;
        self.record.finished_unix_ms = Some(moment.unix_ms);
        self.leave();
    }

    /// The attempt ran to its end.
    pub(super) fn finish(&mut self, moment: ClockReading) {
        self.end(State::Done, moment);
    }

    /// The attempt surely never started.
    pub(super) fn unstart(&mut self, moment: ClockReading) {
        self.spent = false;
        self.requeue(moment);
    }

    /// The job waits for its next attempt, unless it was cancelled.
    fn requeue(&mut self, moment: ClockReading) {
        if self.record.cancelled && !injected::is_on(Fault::CancelIgnored) {
            return self.end(State::Cancelled, moment);
        }
        self.record.state = State::Queued;
        self.leave();
    }

    /// The attempt surely stopped before its end by something other than the job.
    pub(super) fn interrupt(&mut self, reason: &str, moment: ClockReading) {
        if self.record.cancelled || self.is_resumable() {
            return self.requeue(moment);
        }
        self.end(State::Unknown { reason: reason.to_owned() }, moment);
    }

    /// Nobody knows how far the attempt got, but it surely runs no more.
    ///
    /// It may have come to its end, so only an idempotent job runs again, checkpoint or not.
    pub(super) fn lose(&mut self, reason: &str, settings: &Settings, moment: ClockReading) {
        if self.record.cancelled {
            return self.requeue(moment);
        }
        if !self.record.spec.idempotent && !injected::is_on(Fault::RerunOfUnknown) {
            return self.end(State::Unknown { reason: reason.to_owned() }, moment);
        }
        self.fail(reason, settings, moment);
    }

    /// The attempt ended badly.
    pub(super) fn fail(&mut self, reason: &str, settings: &Settings, moment: ClockReading) {
        self.record.failures += 1;
        let exhausted = self.record.failures >= settings.failures_max;
        let rerun = injected::is_on(Fault::RetryOfFailed) || injected::is_on(Fault::RerunOfUnknown);
        let may_retry = (self.record.spec.idempotent || rerun) && !exhausted;
        if !self.record.cancelled && !may_retry {
            return self.end(State::Failed { reason: reason.to_owned() }, moment);
        }
        self.not_before = self.retry_at(settings, moment.now);
        if let State::Started { worker, .. } = &self.record.state {
            self.avoid = Some(worker.clone());
        }
        self.requeue(moment);
    }

    /// Takes over a checkpoint that the worker holds.
    pub(super) fn acknowledge(&mut self, checkpoint: &Option<Name>) {
        if checkpoint.is_some() && self.record.checkpoint != *checkpoint {
            self.record.checkpoint.clone_from(checkpoint);
            self.spent = false;
        }
    }

    fn leave(&mut self) {
        self.granted = None;
        self.heard = false;
    }
}
