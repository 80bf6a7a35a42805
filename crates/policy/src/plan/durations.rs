//! Learns how long tasks run, by queue and image, from the ends of their runs.
//!
//! Submitted estimates can be wrong for all jobs of a queue alike, by a factor, or for each job at
//! random. A least-squares line through pairs of estimate and duration covers both: with estimates
//! that are proportional to the durations it gives their ratio, and with random ones the mean.

use super::{Phase, Settings, Table};
use serde::{Deserialize, Serialize};
use shallotflow_core::graph::{Step, Task};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// Spread of the estimates, as a share of their mean, up to which the slope of the line follows the
/// ratio of the means rather than the samples, which show no slope yet.
const LEAST_SPREAD: f64 = 0.1;
/// Lowest expected duration, as a share of the mean duration of the samples.
const LEAST_SHARE: f64 = 0.1;

/// Decaying sums over pairs of estimate and duration, both in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Samples {
    count: f64,
    estimates: f64,
    durations: f64,
    squares: f64,
    products: f64,
}

impl Samples {
    fn add(&mut self, estimate: f64, duration: f64, memory: f64) {
        let keep = 1.0 - 1.0 / memory.max(1.0);
        self.count = self.count * keep + 1.0;
        self.estimates = self.estimates * keep + estimate;
        self.durations = self.durations * keep + duration;
        self.squares = self.squares * keep + estimate * estimate;
        self.products = self.products * keep + estimate * duration;
    }

    /// Returns the expected duration of a task with `estimate`, milliseconds.
    fn expected(&self, estimate: f64) -> f64 {
        let (mean, duration) = (self.estimates / self.count, self.durations / self.count);
        let variance = (self.squares / self.count - mean * mean).max(0.0);
        let covariance = self.products / self.count - mean * duration;
        let weight = (LEAST_SPREAD * mean).powi(2).max(1.0);
        let ratio = duration / mean.max(1.0);
        let slope = ((covariance + weight * ratio) / (variance + weight)).clamp(0.0, ratio);
        (duration + slope * (estimate - mean)).max(duration * LEAST_SHARE)
    }
}

/// Learned durations of tasks, by queue and image.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Durations {
    samples: BTreeMap<(Name, Option<Name>), Samples>,
}

impl Durations {
    /// Adds a completed run of `step` that took `duration` at full pace.
    fn learn(&mut self, queue: &Name, step: &Step, duration: Duration, settings: &Settings) {
        let samples = self.samples.entry((queue.clone(), step.image.clone())).or_default();
        let duration_ms = duration.as_secs_f64() * 1_000.0;
        #[allow(clippy::cast_precision_loss)]
        samples.add(step.estimate_ms as f64, duration_ms, settings.duration_memory);
    }

    /// Returns the expected duration of a task of `step`, milliseconds; its estimate while there are
    /// no samples.
    pub(super) fn expected_ms(&self, queue: &Name, step: &Step, settings: &Settings) -> u64 {
        let key = (queue.clone(), step.image.clone());
        let Some(samples) = self.samples.get(&key) else { return step.estimate_ms };
        #[allow(clippy::cast_precision_loss)]
        let estimate = step.estimate_ms as f64;
        let weight = samples.count / (samples.count + settings.estimate_weight.max(0.0));
        let expected = weight * samples.expected(estimate) + (1.0 - weight) * estimate;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let expected = expected.round() as u64;
        expected
    }
}

impl Table {
    /// Brings the expected durations of the steps of the job `id` up to date.
    pub(super) fn update_durations(&mut self, id: shallotflow_core::graph::Id) {
        let Self { jobs, durations, settings, .. } = self;
        let Some(job) = jobs.get_mut(&id) else { return };
        if !settings.learns_durations || !job.is_deferrable() {
            return;
        }
        let steps = job.spec.steps.iter();
        let expected = steps.map(|step| durations.expected_ms(&job.queue.name, step, settings));
        job.durations_ms = expected.collect();
    }

    /// Counts the time that a run has been at work until `now`, at the pace that its agent last
    /// reported.
    pub(super) fn count_work(&mut self, agent: &Name, task: &Task, now: Time) {
        if !self.settings.learns_durations {
            return;
        }
        let placed = self.workers.get(agent).and_then(|worker| worker.placed.get(task));
        let Some(pace) = placed.map(|placed| u32::from(placed.pace)) else { return };
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        let Some(position) = job.position(task) else { return };
        let state = &mut job.tasks[position];
        state.worked += now.since(state.worked_until.max(state.begun)) * pace / 100;
        state.worked_until = now;
    }

    /// Learns from the run of `task` at `agent`, which has completed its work.
    pub(super) fn learn_duration(&mut self, agent: &Name, task: Task, run: u32, now: Time) {
        if !self.settings.learns_durations {
            return;
        }
        self.count_work(agent, &task, now);
        let Some(job) = self.jobs.get(&task.job).filter(|job| job.is_deferrable()) else { return };
        let Some(position) = job.position(&task) else { return };
        let state = &job.tasks[position];
        // A run that resumed from a checkpoint, or that a predecessor started, was seen in part.
        let whole = state.is_current(agent, run)
            && matches!(state.phase, Phase::Running { .. })
            && !state.resumed;
        if whole {
            let step = job.step(&task);
            self.durations.learn(&job.queue.name, step, state.worked, &self.settings);
        }
    }
}
