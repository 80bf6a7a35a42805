//! Decides whether a best-effort task may start where it interferes with serving tasks.

use super::backlog::Share;
use super::urgency::{Lateness, MAX_LATE_OBJECTIVES};
use super::{Job, Settings, Table};
use shallotflow_core::time::Time;

impl Settings {
    /// Returns whether the task at `position` of `job` may start at `now` where it interferes with
    /// serving tasks.
    ///
    /// A task of a job with an objective may do so only if the job can still end in time and would
    /// miss its objective by waiting. One whose job is late gains little by it, so it waits for up to
    /// three objectives.
    fn may_interfere(&self, job: &Job, position: usize, now: Time) -> bool {
        let ready = job.tasks[position].ready_since;
        if !self.interferes_by_objective || !job.is_deferrable() {
            return ready.after(self.disturbance_wait).passed(now);
        }
        let objective = job.objective();
        if job.lateness(now) != Lateness::OnTime {
            return ready.after(objective * MAX_LATE_OBJECTIVES).passed(now);
        }
        let latest = job.received.after(objective).before(job.remaining_time());
        latest.before(self.interference_margin).passed(now)
    }
}

impl Table {
    /// Returns whether the task at `position` of `job` may start at `now` where it interferes with
    /// serving tasks.
    pub(super) fn may_interfere(&self, job: &Job, position: usize, now: Time) -> bool {
        self.settings.may_interfere(job, position, now) || self.is_held_up(job, position, now)
    }

    /// Returns whether the task may interfere only because nothing of its job runs.
    ///
    /// While half of the processors are idle, such a job waits for a short time only: its caller sees
    /// no progress, and one run costs the serving tasks little.
    pub(super) fn is_held_up(&self, job: &Job, position: usize, now: Time) -> bool {
        let ready = job.tasks[position].ready_since;
        let share = self.backlogs.services.get(&job.queue.service);
        ready.after(self.settings.idle_wait).passed(now)
            && share.is_some_and(Share::is_half_idle)
            && !job.occupies_workers()
            && !self.settings.may_interfere(job, position, now)
    }
}
