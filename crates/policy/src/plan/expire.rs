//! Acts on expired deadlines.

use super::fate::Evidence;
use super::timers::Timer;
use super::{Event, Phase, Table, TaskState};
use shallotflow_core::graph::{Id, Task};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::time::Duration;

/// Interval at which a run is checked again whose worker has not listed it since its deadline.
pub(super) const STALL_RECHECK_INTERVAL: Duration = Duration::from_millis(200);

impl Table {
    /// Acts on every deadline that has passed; `wall_ms` is the wall-clock time in milliseconds since
    /// 1970. Returns the jobs that were removed, to be deleted from the store.
    pub fn expire(&mut self, now: Time, wall_ms: u64) -> Vec<Id> {
        self.wall_ms = wall_ms;
        let mut forgotten = Vec::new();
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::Run(task) => self.expire_run(task, now),
                Timer::Relocate(task) => self.slowed.push(task),
                Timer::Urgency(id) => self.expire_urgency(id, now),
                Timer::Forget(id) => forgotten.extend(self.forget(id, now)),
                Timer::Worker(agent) => self.expire_worker(&agent, now),
                Timer::Silence(agent) => self.expire_silence(&agent, now),
                Timer::Wait => self.may_start = true,
            }
        }
        self.settle_uncertain(now);
        forgotten
    }

    fn expire_worker(&mut self, agent: &Name, now: Time) {
        let Some(worker) = self.workers.get_mut(agent) else { return };
        // A new process of the agent that is gone before it has listed the runs leaves them here.
        if !worker.synced && !worker.is_occupied() {
            worker.lease_timer = false;
            return;
        }
        if !worker.empty_at.passed(now) {
            return self.timers.push(worker.empty_at, Timer::Worker(agent.clone()));
        }
        worker.lease_timer = false;
        let reason = "its agent did not report for the length of a lease";
        self.lose_runs(agent, reason, false, Evidence::of_ended_lease(), now);
        // The worker stays in the table: when its agent returns, the process continues its
        // numbering of orders and ends.
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.synced = false;
            worker.outbox.clear();
        }
        self.update_worker_lists(agent);
    }

    fn expire_run(&mut self, task: Task, now: Time) {
        let Some(job) = self.jobs.get(&task.job) else { return };
        let Some(position) = job.position(&task) else { return };
        let state = &job.tasks[position];
        let (deadline, reason) = match &state.phase {
            Phase::Stopping { agent, run } => {
                let (agent, run) = (agent.clone(), *run);
                return self.expire_stop(&agent, task, run, now);
            }
            _ if job.ended.is_some() => return,
            Phase::Starting { withdraw_at, .. } => (*withdraw_at, "its start was not answered"),
            Phase::Running { agent, .. } => {
                let long_running = job.step(&task).long_running;
                let reason = if long_running {
                    "its worker lists it no more"
                } else {
                    "it makes no progress"
                };
                (self.stall_deadline(agent, state, now), reason)
            }
            _ => return,
        };
        if deadline.passed(now) {
            let starting = matches!(state.phase, Phase::Starting { .. });
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.tasks[position].unanswered = starting;
            }
            self.stop_run(task, reason, now);
        } else {
            self.timers.push(deadline, Timer::Run(task));
        }
    }

    /// Orders the stop of the current run of `task` again if the worker has listed its runs since the
    /// stop should have had a result. A worker that is silent, or whose agent is, shows nothing.
    fn expire_stop(&mut self, agent: &Name, task: Task, run: u32, now: Time) {
        let listed_at = self.workers.get(agent).map_or(Time::ZERO, |worker| worker.listed_at);
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(position) = job.position(&task) else { return };
        let state = &mut job.tasks[position];
        if !state.stop_due.passed(now) {
            return self.timers.push(state.stop_due, Timer::Run(task));
        }
        if !state.stop_due.passed(listed_at) {
            return self.timers.push(now.after(STALL_RECHECK_INTERVAL), Timer::Run(task));
        }
        state.stop_due = now.after(self.settings.stall_timeout);
        self.timers.push(state.stop_due, Timer::Run(task));
        self.order_stop(agent, task, run, "its stop had no result");
    }

    /// Returns when a run counts as stalled, or when to look again: only a list that arrives after
    /// the deadline shows that, since a worker without one may be silent or paused.
    fn stall_deadline(&self, agent: &Name, state: &TaskState, now: Time) -> Time {
        let listed_at = self.workers.get(agent).map_or(Time::ZERO, |worker| worker.listed_at);
        if state.stalls_at.passed(listed_at) {
            return state.stalls_at;
        }
        state.stalls_at.max(now.after(STALL_RECHECK_INTERVAL))
    }

    fn expire_urgency(&mut self, id: Id, now: Time) {
        // A timer that was set before the durations were learned anew may be out of date.
        if let Some(job) = self.jobs.get_mut(&id).filter(|job| job.urgency_due.passed(now)) {
            job.urgency_due = Time::NEVER;
        }
        self.update_ready(id, now);
    }

    /// Removes an ended job once its end is recorded, and a cancel that has waited for its job.
    fn forget(&mut self, id: Id, now: Time) -> Option<Id> {
        if self.early_cancels.get(&id).is_some_and(|until| until.passed(now)) {
            self.early_cancels.remove(&id);
        }
        let job = self.jobs.get(&id)?;
        if job.recorded < job.version || !job.forget_at.passed(now) {
            let again = job.forget_at.max(now.after(self.settings.record_delay));
            self.timers.push(again, Timer::Forget(id));
            return None;
        }
        let job = self.jobs.remove(&id)?;
        for (position, state) in job.tasks.iter().enumerate() {
            if let Some((agent, run)) = state.current() {
                self.detach_run(agent, job.task(position), run);
            }
        }
        Some(id)
    }

    /// Makes uncertain tasks wait once every agent has reported or its leases have ended: a task that
    /// no agent listed does not run.
    pub(super) fn settle_uncertain(&mut self, now: Time) {
        if !self.uncertain || !self.missing.values().all(|empty_at| empty_at.passed(now)) {
            return;
        }
        self.uncertain = false;
        let missing = self.missing.len();
        self.missing.clear();
        self.holders_version += 1;
        let mut tasks = 0;
        let active: Vec<Id> = self.active.iter().copied().collect();
        for id in active {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            for position in 0..job.tasks.len() {
                if job.tasks[position].phase == Phase::Uncertain {
                    job.set_phase(position, Phase::Waiting);
                    tasks += 1;
                }
            }
            job.await_trials(now.after(self.settings.trial_wait));
            self.update_ready(id, now);
        }
        self.events.push(Event::Settled { tasks, missing });
    }
}
