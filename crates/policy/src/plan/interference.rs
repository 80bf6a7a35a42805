//! Decides whether a best-effort task may start where it interferes with serving tasks.

use super::urgency::{Lateness, MAX_LATE_OBJECTIVES};
use super::{Job, Settings, Table};
use shallotflow_core::time::Time;

impl Settings {
    /// Returns whether the task at `position` of `job` has waited long enough at `now` to start where it
    /// interferes with serving tasks.
    ///
    /// A task of a job with an objective may do so only if the job can still end in time and would
    /// miss its objective by waiting. One whose job is late gains little by it, so it waits for up to
    /// three objectives.
    pub(super) fn may_interfere(&self, job: &Job, position: usize, now: Time) -> bool {
        let ready = job.tasks[position].waits_since();
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
    /// Returns when the task may interfere at the latest; `None` if that follows from the objective of
    /// its job.
    pub(super) fn interferes_at(&self, job: &Job, position: usize) -> Option<Time> {
        let by_objective = self.settings.interferes_by_objective && job.is_deferrable();
        let wait = self.settings.disturbance_wait;
        (!by_objective).then(|| job.tasks[position].waits_since().after(wait))
    }
}
