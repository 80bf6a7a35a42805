//! The ends of an attempt and what they make of the job.

use super::job::Job;
use super::{Moment, Settings};
use shallotflow_core::job::State;

impl Job {
    /// Puts the job in the final state `state`.
    pub(super) fn end(&mut self, state: State, moment: Moment) {
        self.record.state = state;
        self.record.finished_unix_ms = Some(moment.unix_ms);
        self.leave();
    }

    /// The attempt ran to its end.
    pub(super) fn finish(&mut self, moment: Moment) {
        self.end(State::Done, moment);
    }

    /// The attempt surely never started, or was stopped with all its work kept.
    pub(super) fn requeue(&mut self, moment: Moment) {
        if self.record.cancelled {
            return self.end(State::Cancelled, moment);
        }
        self.record.state = State::Queued;
        self.leave();
    }

    /// The attempt surely stopped before its end by something other than the job.
    pub(super) fn interrupt(&mut self, reason: &str, moment: Moment) {
        let may_resume = self.record.spec.idempotent || self.record.checkpoint.is_some();
        if self.record.cancelled || may_resume {
            return self.requeue(moment);
        }
        self.end(State::Unknown { reason: reason.to_owned() }, moment);
    }

    /// Nobody knows how far the attempt got, but it surely runs no more.
    ///
    /// It may have come to its end, so only an idempotent job runs again, checkpoint or not.
    pub(super) fn lose(&mut self, reason: &str, settings: &Settings, moment: Moment) {
        if self.record.cancelled {
            return self.requeue(moment);
        }
        if !self.record.spec.idempotent {
            return self.end(State::Unknown { reason: reason.to_owned() }, moment);
        }
        self.fail(reason, settings, moment);
    }

    /// The attempt ended badly.
    pub(super) fn fail(&mut self, reason: &str, settings: &Settings, moment: Moment) {
        self.record.failures += 1;
        let exhausted = self.record.failures >= settings.failures_max;
        let may_retry = self.record.spec.idempotent && !exhausted;
        if !self.record.cancelled && !may_retry {
            return self.end(State::Failed { reason: reason.to_owned() }, moment);
        }
        self.not_before = self.retry_at(settings, moment.now);
        if let State::Started { worker, .. } = &self.record.state {
            self.avoid = Some(worker.clone());
        }
        self.requeue(moment);
    }

    /// Takes over a checkpoint that the worker holds; returns whether it is a new one.
    pub(super) fn acknowledge(
        &mut self,
        checkpoint: &Option<shallotflow_core::name::Name>,
    ) -> bool {
        let is_new = checkpoint.is_some() && self.record.checkpoint != *checkpoint;
        if is_new {
            self.record.checkpoint.clone_from(checkpoint);
        }
        is_new
    }

    fn leave(&mut self) {
        self.granted = None;
        self.heard = false;
    }
}
