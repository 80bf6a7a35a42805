//! Lets tasks wait for a slot in their rack.

use super::event::milliseconds;
use super::racks::{Amount, Rack};
use super::search::rack_of;
use super::timers::Timer;
use super::{Event, Table};
use shallotflow_core::graph::{Id, Task};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::time::Duration;

/// A task that waits for a slot in its rack, or the members of a gang that wait together.
pub(super) struct Wait {
    pub(super) task: Task,
    /// Number of tasks that need a slot together.
    pub(super) members: usize,
    /// When the wait ends at the latest.
    pub(super) until: Time,
    /// Expected time until a slot becomes free.
    pub(super) expected: Duration,
}

impl Table {
    /// Keeps the sums of the rack where the tasks of a step belong, if they belong in one; `racks` are
    /// those of the tasks that have a worker.
    pub(super) fn track_step(&mut self, id: Id, step: usize, racks: &[Option<Name>]) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(rack) = rack_of(&job.spec.steps[step], racks) else { return };
        let key = (job.queue.service.clone(), rack.clone());
        self.track_rack(&key);
    }

    /// Returns the racks of the workers that run tasks of a step.
    pub(super) fn step_racks(&self, id: Id, occurrence: u32, step: usize) -> Vec<Option<Name>> {
        let Some(job) = self.jobs.get(&id) else { return Vec::new() };
        let mut racks = Vec::new();
        for state in &job.tasks[job.range(occurrence, step)] {
            let Some((agent, _)) = state.current() else { continue };
            let rack = self.rack_at(agent);
            if !racks.contains(&rack) {
                racks.push(rack);
            }
        }
        racks
    }

    /// Returns the rack of the worker of `agent`.
    pub(super) fn rack_at(&self, agent: &Name) -> Option<Name> {
        self.workers.get(agent)?.profile.as_ref()?.rack.clone()
    }

    /// Lets a task wait for the rack where it belongs, ahead of those that come later in the pass.
    pub(super) fn hold(&mut self, wait: &Wait, racks: &[Option<Name>], now: Time) {
        let Wait { task, members, until, expected } = *wait;
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(position) = job.position(&task) else { return };
        let step = job.step(&task);
        let Some(rack) = rack_of(step, racks).cloned() else { return };
        let amount = Amount::of(step, members);
        let key = (job.queue.service.clone(), rack);
        let state = &mut job.tasks[position];
        if state.near_wait_since.is_none() {
            state.near_wait_since = Some(now);
            let step = job.step(&task);
            self.racks.add_arrival(&key, step, now);
            self.timers.push(until, Timer::Wait);
            let waiting = self.racks.get(&key).map(Rack::waiting).unwrap_or_default();
            self.events.push(Event::NearWait {
                task,
                rack: key.1.clone(),
                expected_ms: milliseconds(expected),
                limit_ms: milliseconds(until.since(now)),
                ahead_millicores: waiting.millicores(),
            });
        }
        self.racks.add_waiting(&key, &amount);
    }

    /// Counts a task that starts without having waited for the rack of its data.
    pub(super) fn count_arrival(&mut self, task: &Task, now: Time) {
        let Self { jobs, racks, .. } = self;
        let Some(job) = jobs.get(&task.job) else { return };
        let step = job.step(task);
        let Some(rack) = &step.data_rack else { return };
        racks.add_arrival(&(job.queue.service.clone(), rack.clone()), step, now);
    }

    /// Returns whether the worker of `agent`, where `task` has been placed, is in the rack where the
    /// task belongs; `None` if it belongs in none.
    pub(super) fn is_near(&self, agent: &Name, task: &Task) -> Option<bool> {
        let job = self.jobs.get(&task.job)?;
        let step = job.step(task);
        if step.data_rack.is_none() && !step.same_rack {
            return None;
        }
        let rack = self.rack_at(agent);
        let near_data = step.data_rack.is_none() || step.data_rack == rack;
        let near_others = !step.same_rack || {
            let racks = self.step_racks(task.job, task.occurrence, task.step.into());
            racks.iter().all(|other| *other == rack)
        };
        Some(near_data && near_others)
    }
}
