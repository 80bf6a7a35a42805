//! Bounds the time for which nothing of an accepted job runs.
//!
//! The order by remaining work, the limit on best-effort tasks at a worker and the wait for a worker
//! where a task disturbs none can each hold a job back for as long as other jobs have tasks. Callers
//! miss a job of which nothing runs for 3 s while a task could, its room is free twice, and less than
//! half of the processors are in use. They count what tasks reserve, so a worker full of best-effort
//! tasks is free to them. A job starves while that holds; after
//! [`idle_wait`](super::Settings::idle_wait), one of its tasks starts wherever there is room.

use super::backlog::Share;
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

/// Returns whether the workers of `service` have room for the tasks of `step` that start together as
/// often as callers ask.
fn has_spare_room(
    ranking: &Ranking,
    workers: &BTreeMap<Name, Worker>,
    service: &str,
    step: &Step,
) -> bool {
    let Some(eligible) = ranking.eligible(service, step) else { return false };
    let need = Demand::of(step).reserved();
    let members = if step.gang { step.count } else { 1 };
    let mut wanted = members.saturating_mul(SPARE_ROOMS);
    for (_, agent) in eligible {
        let Some(worker) = workers.get(agent) else { continue };
        let Some(profile) = &worker.profile else { continue };
        let rooms = worker.load.rooms(&profile.capacity, &need, wanted);
        wanted -= rooms;
        if wanted == 0 {
            return true;
        }
    }
    false
}

impl Table {
    /// Brings up to date since when each waiting job starves.
    pub(super) fn update_starvation(&mut self, now: Time) {
        let Self { ready, jobs, workers, ranking, backlogs, settings, .. } = self;
        // A run at a silent agent may be gone with its machine; callers do not see it.
        let is_silent =
            |worker: &Worker| worker.last_report.after(settings.report_timeout).passed(now);
        let silent: BTreeMap<&Name, &Worker> =
            workers.iter().filter(|(_, worker)| is_silent(worker)).collect();
        let unheard: BTreeSet<Id> =
            silent.values().flat_map(|worker| worker.placed.keys()).map(|task| task.job).collect();
        let mut full = Refusals::default();
        for (_, id) in ready.iter() {
            let Some(job) = jobs.get_mut(id) else { continue };
            let is_heard = |state: &TaskState| match &state.phase {
                Phase::Running { agent, .. } => !silent.contains_key(agent),
                _ => false,
            };
            if job.running > 0 && (!unheard.contains(id) || job.tasks.iter().any(is_heard)) {
                job.starved_since = None;
                continue;
            }
            let service = &job.queue.service;
            let half_free = backlogs.services.get(service).is_some_and(Share::is_half_free);
            let starves = half_free
                && job.open_steps().any(|step| {
                    let need = Demand::of(step).reserved();
                    if full.is_full(service, step, &need) {
                        return false;
                    }
                    let room = has_spare_room(ranking, workers, service, step);
                    if !room && !step.gang {
                        full.push_full(service, step, need);
                    }
                    room
                });
            job.starved_since = starves.then(|| job.starved_since.unwrap_or(now));
        }
    }

    /// Returns the jobs that have starved for long enough at `now` and of which no start is awaited,
    /// with the time since when, the longest first.
    pub(super) fn starved_jobs(&self, now: Time) -> Vec<(Time, Id)> {
        let starved = self.ready.iter().filter_map(|(_, id)| {
            let job = self.jobs.get(id)?;
            let due = self.starves_at(job)?.passed(now) && !job.is_starting();
            Some((job.starved_since.filter(|_| due)?, *id))
        });
        let mut starved: Vec<(Time, Id)> = starved.collect();
        starved.sort_unstable();
        starved
    }

    /// Returns when a task of `job` starts wherever there is room, unless one runs before; `None` while
    /// callers do not miss it.
    pub(super) fn starves_at(&self, job: &Job) -> Option<Time> {
        Some(job.starved_since?.after(self.settings.idle_wait))
    }
}
