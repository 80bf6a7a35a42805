//! Moves runs that are slowed down to workers where they can go on at full speed.
//!
//! A job ends with its slowest task. A best-effort task beside serving tasks that miss their targets
//! is slowed down for as long as their load lasts, often for many times its run time, while other
//! workers have room. It loses little by a move if it has a checkpoint or has just begun.

use super::search::{Isolation, Outcome, Pass, Search};
use super::timers::Timer;
use super::{Phase, Table};
use shallotflow_core::graph::Task;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::BTreeSet;
use std::time::Duration;

/// Maximum number of runs that one pass stops: their room is found for each alone.
const STOPS_PER_PASS: usize = 2;
/// Maximum number of moves of one task.
const MAX_RELOCATIONS: u8 = 2;
/// Progress up to which a run without a checkpoint loses little by starting anew, in percent.
const LITTLE_PROGRESS: u8 = 25;
/// The time that a move is expected to save, as a multiple of the time that it costs.
const LEAST_GAIN: u32 = 2;
/// Lowest pace that is assumed for the rest of a run, in percent: a lower one does not last.
const LEAST_PACE: u8 = 15;
/// Highest score of a worker that is worth the move: not fully used, and without disturbance.
const MAX_SCORE: f64 = 1.0;

impl Table {
    /// Stops slowed runs for which another worker has room.
    pub(super) fn relocate(&mut self, now: Time, holders: &BTreeSet<Name>) {
        let mut stops = 0;
        for task in std::mem::take(&mut self.slowed) {
            let Some(since) = self.slowed_since(&task) else { continue };
            let due = since.after(self.settings.relocation_delay);
            if due.passed(now) && stops < STOPS_PER_PASS && self.can_relocate(&task, now, holders) {
                self.count_relocation(&task);
                self.stop_run(task, "it is slowed down, and another worker has room", now);
                stops += 1;
            } else {
                let again = due.max(now.after(self.settings.search_interval * 4));
                self.timers.push(again, Timer::Relocate(task));
            }
        }
    }

    /// Returns since when the current run of `task` is slowed down, unless the task stays where it
    /// is.
    fn slowed_since(&self, task: &Task) -> Option<Time> {
        let job = self.jobs.get(&task.job).filter(|job| job.ended.is_none())?;
        let step = job.step(task);
        let state = self.task_state(task)?;
        let movable = matches!(state.phase, Phase::Running { .. })
            && !step.gang
            && !step.long_running
            && state.relocations < MAX_RELOCATIONS;
        state.slowed_since.filter(|_| movable)
    }

    fn can_relocate(&self, task: &Task, now: Time, holders: &BTreeSet<Name>) -> bool {
        let Some(job) = self.jobs.get(&task.job) else { return false };
        let Some(position) = job.position(task) else { return false };
        let state = &job.tasks[position];
        if state.checkpoint.is_none() && state.percent > LITTLE_PROGRESS {
            return false;
        }
        let agent = state.current().map(|(agent, _)| agent);
        let placed = agent.and_then(|agent| self.workers.get(agent)?.placed.get(task));
        let pace = placed.map_or(100, |placed| placed.pace).clamp(LEAST_PACE, 100);
        let remaining_ms =
            job.step(task).estimate_ms * u64::from(100 - state.percent.min(100)) / 100;
        let saved_ms = remaining_ms * u64::from(100 - pace) / u64::from(pace);
        let lost = self.stop_time + self.settings.restart_time;
        if Duration::from_millis(saved_ms) < lost * LEAST_GAIN {
            return false;
        }
        let pass = Pass {
            now,
            holders,
            except: agent,
            racks: &[],
            isolation: Isolation::None,
            members: 0,
            starved: false,
        };
        match Search::new(self, pass, job, position).run() {
            Outcome::Worker { score, .. } => score <= MAX_SCORE,
            _ => false,
        }
    }

    fn count_relocation(&mut self, task: &Task) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(position) = job.position(task) else { return };
        let state = &mut job.tasks[position];
        state.relocations += 1;
        state.avoided = state.current().map(|(agent, _)| agent.clone());
    }
}
