//! Accepts, loads and cancels jobs.

use super::timers::Timer;
use super::{Event, Job, Phase, Progress, Table};
use shallotflow_core::graph::{self, Id, State};
use shallotflow_core::time::Time;

/// Maximum number of cancels that wait for their jobs; the owner's watch delivers any other one again
/// after its job.
const MAX_EARLY_CANCELS: usize = 10_000;

impl Table {
    /// Adds a job that the store holds. Returns `false` without a change if the job is in the table.
    ///
    /// A job that another writer stored and that violates the rules for jobs is left out: it can
    /// neither start nor end.
    ///
    /// `fresh` means that no predecessor can have known the job, so that all its tasks may start.
    pub fn accept(&mut self, id: Id, job: graph::Job, fresh: bool, now: Time) -> bool {
        self.load(id, job, None, fresh, now)
    }

    /// Adds a job as [`accept`](Self::accept) does, with its stored progress.
    pub fn load(
        &mut self,
        id: Id,
        job: graph::Job,
        progress: Option<&Progress>,
        fresh: bool,
        now: Time,
    ) -> bool {
        if self.jobs.contains_key(&id) {
            return false;
        }
        if let Err(error) = job.spec.check() {
            self.events.push(Event::Invalid { job: id, reason: error.to_string() });
            return false;
        }
        let mut job = Job::new(id, job, now);
        job.fresh = fresh;
        if let Some(queue) = self.queues.get(&job.queue.name) {
            job.queue = queue.clone();
        }
        for state in &mut job.tasks {
            state.ready_since = now;
            state.idle_since = Some(now);
            if !fresh && self.uncertain {
                state.phase = Phase::Uncertain;
            }
        }
        if let Some(progress) = progress {
            job.restore(progress);
            job.started = progress.state != State::Queued;
        }
        job.recount();
        job.await_trials(now.after(self.settings.trial_wait));
        let ended = job.ended;
        if ended.is_some() {
            job.forget_at = now.after(self.settings.retention);
            self.timers.push(job.forget_at, Timer::Forget(id));
        } else {
            self.active.insert(id);
        }
        let done = job.is_done();
        let cancelled = self.early_cancels.remove(&id).is_some();
        self.jobs.insert(id, job);
        if ended.is_none() && done {
            self.end_job(id, State::Completed, "every task is done", now);
        }
        self.update_ready(id, now);
        if cancelled {
            self.cancel(id, now);
        }
        true
    }

    /// Cancels a job; the cancellation is recorded before this call. One of a job that the table does not
    /// hold counts once the job arrives.
    pub fn cancel(&mut self, id: Id, now: Time) {
        if !self.jobs.contains_key(&id) {
            if self.early_cancels.len() < MAX_EARLY_CANCELS {
                let until = now.after(self.settings.retention);
                self.early_cancels.insert(id, until);
                self.timers.push(until, Timer::Forget(id));
            }
            return;
        }
        self.end_job(id, State::Cancelled, "the caller cancelled it", now);
    }
}
