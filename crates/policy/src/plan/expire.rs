//! The system that acts on deadlines that have passed.

use super::{Event, Phase, Table};
use shallotflow_core::graph::Id;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;

impl Table {
    /// Acts on every deadline that has passed; `wall_ms` is the wall clock, milliseconds since
    /// 1970. Returns jobs that were forgotten, for the store to forget.
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
        let over: Vec<Name> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.synced && worker.empty_at.passed(now))
            .map(|(agent, _)| agent.clone())
            .collect();
        for agent in over {
            self.lose_runs(&agent, "its agent did not report for the length of a lease", now);
            // The entry stays: the agent's process goes on counting orders and ends when it is back.
            if let Some(worker) = self.workers.get_mut(&agent) {
                worker.synced = false;
                worker.outbox.clear();
            }
        }
    }

    fn expire_runs(&mut self, now: Time) {
        let mut late = Vec::new();
        for id in &self.active {
            let Some(job) = self.jobs.get(id) else { continue };
            for (number, row) in job.tasks.iter().enumerate() {
                let reason = match &row.phase {
                    Phase::Starting { withdraw_at: withdraw, .. } if withdraw.passed(now) => {
                        "its start was not answered"
                    }
                    Phase::Running { .. } if row.stalls_at.passed(now) => {
                        let task = job.task(number);
                        if job.step(&task).long_running {
                            continue;
                        }
                        "it makes no progress"
                    }
                    _ => continue,
                };
                late.push((job.task(number), reason));
            }
        }
        for (task, reason) in late {
            self.stop_run(task, reason);
        }
    }

    /// Tasks that no agent listed do not run, once every agent has reported or has lapsed.
    pub(super) fn settle_uncertain(&mut self, now: Time) {
        if !self.uncertain || !self.missing.values().all(|empty| empty.passed(now)) {
            return;
        }
        self.uncertain = false;
        let missing = self.missing.len();
        self.missing.clear();
        let mut tasks = 0;
        for job in self.jobs.values_mut() {
            for row in job.tasks.iter_mut().filter(|row| row.phase == Phase::Uncertain) {
                row.phase = Phase::Waiting;
                tasks += 1;
            }
        }
        self.events.push(Event::Settled { tasks, missing });
    }
}
