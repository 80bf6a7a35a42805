//! Acts on expired deadlines.

use super::{Event, Phase, Table};
use shallotflow_core::graph::Id;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;

impl Table {
    /// Acts on every deadline that has passed; `wall_ms` is the wall-clock time in milliseconds since
    /// 1970. Returns the jobs that were removed, to be deleted from the store.
    pub fn expire(&mut self, now: Time, wall_ms: u64) -> Vec<Id> {
        self.wall_ms = wall_ms;
        self.expire_workers(now);
        self.expire_runs(now);
        self.settle_uncertain(now);
        let forgotten: Vec<Id> = self
            .jobs
            .values()
            .filter(|job| job.forget_at.passed(now) && job.recorded == job.version)
            .map(|job| job.id)
            .collect();
        for id in &forgotten {
            self.jobs.remove(id);
        }
        forgotten
    }

    fn expire_workers(&mut self, now: Time) {
        let expired: Vec<Name> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.synced && worker.empty_at.passed(now))
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in expired {
            self.lose_runs(&agent, "its agent did not report for the length of a lease", now);
            // The worker stays in the table: when its agent returns, the process continues its
            // numbering of orders and ends.
            if let Some(worker) = self.workers.get_mut(&agent) {
                worker.synced = false;
                worker.outbox.clear();
            }
        }
    }

    fn expire_runs(&mut self, now: Time) {
        let mut overdue = Vec::new();
        for id in &self.active {
            let Some(job) = self.jobs.get(id) else { continue };
            for (position, state) in job.tasks.iter().enumerate() {
                let reason = match &state.phase {
                    Phase::Starting { withdraw_at, .. } if withdraw_at.passed(now) => {
                        "its start was not answered"
                    }
                    Phase::Running { .. } if state.stalls_at.passed(now) => {
                        let task = job.task(position);
                        if job.step(&task).lasting {
                            continue;
                        }
                        "it makes no progress"
                    }
                    _ => continue,
                };
                overdue.push((job.task(position), reason));
            }
        }
        for (task, reason) in overdue {
            self.stop_run(task, reason);
        }
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
        let mut tasks = 0;
        for job in self.jobs.values_mut() {
            for state in job.tasks.iter_mut().filter(|state| state.phase == Phase::Uncertain) {
                state.phase = Phase::Waiting;
                tasks += 1;
            }
        }
        self.events.push(Event::Settled { tasks, missing });
    }
}
