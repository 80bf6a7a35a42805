//! Compares the state that is kept up to date by changes with one rebuilt from jobs and workers.

use super::expire::STALL_RECHECK_INTERVAL;
use super::load::Load;
use super::ranking::Ranking;
use super::search::{Isolation, Outcome, Pass, ROUNDING, Search};
use super::{Job, Phase, Table, Worker};
use shallotflow_core::graph::{Id, Task};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::BTreeSet;

/// A difference between the kept state and the rebuilt one; each is a defect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Mismatch {
    /// The counts of tasks of a job.
    #[error("the task counts of job {0} differ from its tasks; report this as a defect")]
    Counts(Id),
    /// The place of a job in the order.
    #[error("job {0} has another place in the order than its state gives; report this as a defect")]
    Order(Id),
    /// The load of a worker.
    #[error("the load of {0} differs from its runs; report this as a defect")]
    Load(Name),
    /// The runs that occupy a worker.
    #[error("the runs that occupy {0} differ from those of its tasks; report this as a defect")]
    Runs(Name),
    /// The lists of workers.
    #[error("the ranking differs from the workers; report this as a defect")]
    Ranking,
    /// The sums of a rack.
    #[error("the sums of a rack differ from the runs there; report this as a defect")]
    Racks,
    /// The agents that may hold runs.
    #[error("the holders of runs differ from the workers; report this as a defect")]
    Holders,
    /// A deadline of a task that has passed without effect.
    #[error("the deadline of {0} has passed without effect; report this as a defect")]
    Overdue(Task),
    /// A job with changes that are not due to be recorded.
    #[error("changes of job {0} are never recorded; report this as a defect")]
    Unrecorded(Id),
    /// Ends of a worker that nothing will confirm.
    #[error("ends at {0} are never confirmed; report this as a defect")]
    Ends(Name),
    /// A worker that is kept for a task that does not run there.
    #[error("{0} is kept for a task that does not run there; report this as a defect")]
    Trial(Name),
    /// A worker whose state differs from the evacuated domains.
    #[error("{0} is not evacuated as its failure domain is; report this as a defect")]
    Evacuation(Name),
    /// A choice that differs from the best of all workers.
    #[error("the search for {0} misses the best worker; report this as a defect")]
    Search(Task),
}

/// The result of an audit.
pub(super) type Result<T> = std::result::Result<T, Mismatch>;

impl Table {
    /// Checks the kept state after [`expire`](Self::expire) was called at `now`; the cost grows with
    /// everything in the table, so this is for tests.
    ///
    /// # Errors
    ///
    /// Returns the first mismatch.
    pub fn audit(&self, now: Time, holders: &BTreeSet<Name>) -> Result<()> {
        for job in self.jobs.values() {
            self.audit_job(job, now)?;
        }
        let queued = self.jobs.values().filter(|job| job.queued.is_some()).count();
        if let Some((_, id)) = self.ready.first().filter(|_| queued != self.ready.len()) {
            return Err(Mismatch::Order(*id));
        }
        self.audit_workers()?;
        for (_, id) in &self.ready {
            self.audit_search(*id, now, holders)?;
        }
        Ok(())
    }

    fn audit_job(&self, job: &Job, now: Time) -> Result<()> {
        let mut rebuilt = job.clone();
        rebuilt.recount();
        if (&rebuilt.waiting, &rebuilt.remaining) != (&job.waiting, &job.remaining)
            || job.count_suspects() != job.suspects
        {
            return Err(Mismatch::Counts(job.id));
        }
        let waits = job.ended.is_none() && rebuilt.has_open_tasks();
        let urgency = waits.then(|| job.urgency(now, &self.settings));
        if urgency != job.queued
            || urgency.is_some_and(|urgency| !self.ready.contains(&(urgency, job.id)))
        {
            return Err(Mismatch::Order(job.id));
        }
        if job.recorded < job.version && !self.changes.iter().any(|id| id == job.id) {
            return Err(Mismatch::Unrecorded(job.id));
        }
        for (position, state) in job.tasks.iter().enumerate() {
            let task = job.task(position);
            if let Some((agent, _)) = state.current()
                && !self.workers.get(agent).is_some_and(|worker| worker.placed.contains_key(&task))
            {
                return Err(Mismatch::Runs(agent.clone()));
            }
        }
        if job.ended.is_some() {
            return Ok(());
        }
        for (position, state) in job.tasks.iter().enumerate() {
            let task = job.task(position);
            let overdue = match state.phase {
                Phase::Starting { withdraw_at, .. } => withdraw_at.passed(now),
                Phase::Running { ref agent, .. } => {
                    self.is_overdue_by_list(agent, state.stalls_at, now)
                }
                Phase::Stopping { ref agent, .. } => {
                    self.is_overdue_by_list(agent, state.stop_due, now)
                }
                _ => false,
            };
            if overdue {
                return Err(Mismatch::Overdue(task));
            }
        }
        Ok(())
    }

    /// Returns whether a list of the worker arrived after `deadline`, and long enough ago to act on it.
    fn is_overdue_by_list(&self, agent: &Name, deadline: Time, now: Time) -> bool {
        let listed_at = self.workers.get(agent).map_or(Time::ZERO, |worker| worker.listed_at);
        deadline.passed(listed_at) && listed_at.after(STALL_RECHECK_INTERVAL).passed(now)
    }

    fn audit_workers(&self) -> Result<()> {
        let mut ranking = Ranking::default();
        let mut holding = BTreeSet::new();
        for (agent, worker) in &self.workers {
            let profile = worker.profile.as_ref();
            if worker.evacuated
                != profile.is_some_and(|profile| self.evacuations.contains(&profile.failure_domain))
            {
                return Err(Mismatch::Evacuation(agent.clone()));
            }
            let mut load = Load::default();
            for placed in worker.placed.values() {
                load.add(placed);
            }
            for remnant in worker.remnants.values() {
                load.add_remnant(remnant);
            }
            if load != worker.load {
                return Err(Mismatch::Load(agent.clone()));
            }
            let holds = |task: &Task, run: Option<u32>| {
                let current = self.task_state(task).and_then(|state| state.current());
                current.is_some_and(|(at, number)| at == agent && run.unwrap_or(number) == number)
            };
            if !worker.placed.keys().all(|task| holds(task, None))
                || worker.remnants.keys().any(|(task, run)| holds(task, Some(*run)))
            {
                return Err(Mismatch::Runs(agent.clone()));
            }
            let mut rebuilt = Worker { rank: None, ..worker.clone() };
            ranking.update(agent, &mut rebuilt, &self.settings);
            if rebuilt.rank != worker.rank {
                return Err(Mismatch::Ranking);
            }
            if worker.may_hold_runs() {
                holding.insert(agent.clone());
            }
            let required = worker.ends.values().next().copied().flatten();
            let job = required.and_then(|(id, _)| self.jobs.get(&id));
            if job.is_some_and(|job| !job.ending.contains(agent)) {
                return Err(Mismatch::Ends(agent.clone()));
            }
        }
        for (agent, trial) in &self.trials {
            let placed = self.workers.get(agent).map(|worker| &worker.placed);
            if trial.started && placed.is_none_or(|placed| !placed.contains_key(&trial.task)) {
                return Err(Mismatch::Trial(agent.clone()));
            }
        }
        if !self.racks.agrees_with(&self.workers) {
            return Err(Mismatch::Racks);
        }
        if ranking != self.ranking {
            return Err(Mismatch::Ranking);
        }
        if holding != self.holding {
            return Err(Mismatch::Holders);
        }
        Ok(())
    }

    /// Compares the choice for the first waiting task of a job with the best of all workers.
    fn audit_search(&self, id: Id, now: Time, holders: &BTreeSet<Name>) -> Result<()> {
        let Some(job) = self.jobs.get(&id) else { return Ok(()) };
        let waiting = |position: &usize| job.tasks[*position].phase == Phase::Waiting;
        let Some(position) = (0..job.tasks.len()).find(waiting) else { return Ok(()) };
        let pass = Pass {
            now,
            holders,
            except: None,
            racks: &[],
            isolation: Isolation::None,
            members: 0,
            starved: false,
        };
        let chosen = Search::new(self, pass, job, position).run();
        let best = Search::new(self, pass, job, position).run_over_all();
        let score = |outcome: &Outcome| match outcome {
            Outcome::Worker { score, .. } => Some(*score),
            _ => None,
        };
        let same = match (score(&chosen), score(&best)) {
            (Some(chosen), Some(best)) => (chosen - best).abs() <= ROUNDING,
            (chosen, best) => chosen == best,
        };
        if same { Ok(()) } else { Err(Mismatch::Search(job.task(position))) }
    }
}
