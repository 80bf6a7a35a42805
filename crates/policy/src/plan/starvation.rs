//! Bounds the time for which nothing of an accepted job runs.
//!
//! The order by remaining work, the limit on best-effort tasks at a worker and the wait for a worker
//! where a task disturbs none can each hold a job back for as long as other jobs have tasks. Callers
//! miss a job of which nothing runs for 3 s while a task could, its room is free twice, and less than
//! half of the processors are in use. They count what tasks reserve, so a worker full of best-effort
//! tasks is free to them.
//!
//! A job starves if nothing of it has run for [`idle_wait`](super::Settings::idle_wait) and the rest holds
//! now: the owner also counts starts and stops that are under way, so its account of the room changes
//! more often than that of callers. One task of such a job starts wherever there is room.

use super::demand::Demand;
use super::ranking::Ranking;
use super::refusals::Refusals;
use super::task_state::{Phase, TaskState};
use super::{Job, Table, Worker};
use shallotflow_core::graph::{Id, Step};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::{BTreeMap, BTreeSet};

/// The number of times that the room for a task is free when callers miss it.
const SPARE_ROOMS: u32 = 2;

/// Returns whether the workers of `service` have room for a task of `step` as often as callers ask, and
/// for all members of a gang.
fn has_spare_room(
    ranking: &Ranking,
    workers: &BTreeMap<Name, Worker>,
    service: &str,
    step: &Step,
) -> bool {
    let Some(eligible) = ranking.eligible(service, step) else { return false };
    let need = Demand::of(step).reserved();
    let mut wanted = if step.gang { step.count.max(SPARE_ROOMS) } else { SPARE_ROOMS };
    for (_, agent) in eligible {
        let Some(worker) = workers.get(agent) else { continue };
        let Some(profile) = &worker.profile else { continue };
        wanted -= worker.load.rooms(&profile.capacity, &need, wanted);
        if wanted == 0 {
            return true;
        }
    }
    false
}

impl Table {
    /// Brings up to date since when nothing of each waiting job runs although the turn of a task has
    /// come.
    pub(super) fn update_idle_jobs(&mut self, now: Time) {
        let Self { ready, jobs, workers, settings, wall_ms, .. } = self;
        // A run at a silent agent may be gone with its machine; callers do not see it.
        let is_silent =
            |worker: &Worker| worker.last_report.after(settings.report_timeout).passed(now);
        let silent: BTreeMap<&Name, &Worker> =
            workers.iter().filter(|(_, worker)| is_silent(worker)).collect();
        let unheard: BTreeSet<Id> =
            silent.values().flat_map(|worker| worker.placed.keys()).map(|task| task.job).collect();
        for (_, id) in ready.iter() {
            let Some(job) = jobs.get_mut(id) else { continue };
            let is_heard = |state: &TaskState| match &state.phase {
                Phase::Running { agent, .. } => !silent.contains_key(agent),
                _ => false,
            };
            let runs = job.running > 0 && (!unheard.contains(id) || job.tasks.iter().any(is_heard));
            let idle = !runs && job.due_steps(*wall_ms).next().is_some();
            job.idle_since = idle.then(|| job.idle_since.unwrap_or(now));
        }
    }

    /// Returns the jobs that starve at `now` if there is room for them and of which no start is awaited,
    /// with the time since when nothing of them runs, the longest first.
    pub(super) fn overdue_jobs(&self, now: Time) -> Vec<(Time, Id)> {
        let overdue = self.ready.iter().filter_map(|(_, id)| {
            let job = self.jobs.get(id)?;
            let due = self.starves_at(job)?.passed(now) && !job.is_starting();
            Some((job.idle_since.filter(|_| due)?, *id))
        });
        let mut overdue: Vec<(Time, Id)> = overdue.collect();
        overdue.sort_unstable();
        overdue
    }

    /// Returns whether callers count room for a task of the job `id`. Demands without room are added to
    /// `full`.
    pub(super) fn has_room_for(&self, id: Id, full: &mut Refusals) -> bool {
        let Some(job) = self.jobs.get(&id) else { return false };
        let service = &job.queue.service;
        job.due_steps(self.wall_ms).any(|step| {
            let need = Demand::of(step).reserved();
            if full.is_full(service, step, &need) {
                return false;
            }
            let room = has_spare_room(&self.ranking, &self.workers, service, step);
            if !room && !step.gang {
                full.push_full(service, step, need);
            }
            room
        })
    }

    /// Returns when `job` starves unless something of it runs before; `None` while it runs, or half of
    /// the processors are in use.
    pub(super) fn starves_at(&self, job: &Job) -> Option<Time> {
        let share = self.backlogs.services.get(&job.queue.service)?;
        let since = job.idle_since.filter(|_| share.is_half_free())?;
        Some(since.after(self.settings.idle_wait))
    }
}
