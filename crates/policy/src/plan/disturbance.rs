//! Learns how strongly best-effort tasks disturb serving tasks, by image.

use super::measured::Measured;
use super::message::Disturbance;
use super::{Phase, Table, Worker};
use crate::disturbance::{Rates, Sample};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// About the largest number of disturbances in one reply, and of neighbors of one image: some times what
/// a worker has, whose paces an agent still decides without those that are left out.
const MAX_DISTURBANCES: usize = 200;

/// Least time between two measurements that are compared: a worker's figures cover half a second.
const LEAST_SPAN: Duration = Duration::from_millis(400);
/// Longest such time: beyond it, the load of the serving tasks themselves has changed.
const LONGEST_SPAN: Duration = Duration::from_millis(1_500);

impl Table {
    /// Updates the learned rates from the runs that a worker has just listed.
    pub(super) fn learn_rates(&mut self, agent: &Name, now: Time) {
        let Some(worker) = self.workers.get(agent) else { return };
        let former = worker.measured.as_ref();
        if former.is_some_and(|former| !former.at.after(LEAST_SPAN).passed(now)) {
            return;
        }
        let measured = self.measure(worker, now);
        let former = former.filter(|former| !former.at.after(LONGEST_SPAN).passed(now));
        for (task, (victim, ratio)) in &measured.serving {
            let sample = Sample { ratio: *ratio, neighbors: &measured.neighbors };
            match former.and_then(|former| Some((former, former.serving.get(task)?))) {
                Some((former, (_, ratio))) => {
                    let before = Sample { ratio: *ratio, neighbors: &former.neighbors };
                    self.rates.learn_change(victim, &before, &sample);
                }
                None => self.rates.learn(victim, &sample),
            }
        }
        if let Some(worker) = self.workers.get_mut(agent) {
            worker.measured = Some(measured);
        }
    }

    /// Returns the learned rates for the images of active jobs, to be stored for a later owner.
    pub fn learned_rates(&self) -> Rates {
        let active = self.active.iter().filter_map(|id| self.jobs.get(id));
        let images =
            active.flat_map(|job| job.spec.steps.iter().filter_map(|step| step.image.clone()));
        self.rates.snapshot_for(&images.collect())
    }

    /// Returns the learned rates.
    pub fn rates(&self) -> &Rates {
        &self.rates
    }

    /// Replaces the rates by those that a predecessor learned.
    pub fn restore_rates(&mut self, learned: Rates) {
        self.rates = learned;
    }

    /// Returns what the worker measures of its runs.
    fn measure(&self, worker: &Worker, now: Time) -> Measured {
        let mut serving = BTreeMap::new();
        let mut neighbors: BTreeMap<&Name, f64> = BTreeMap::new();
        let capacity = worker.profile.as_ref().map_or(1, |p| p.capacity.millicores.max(1));
        for (task, placed) in &worker.placed {
            let state = self.task_state(task);
            let Some(state) = state.filter(|state| matches!(state.phase, Phase::Running { .. }))
            else {
                continue;
            };
            let Some(image) = &placed.image else { continue };
            if placed.target_ms > 0 && state.percent >= 100 && placed.measurement > 0 {
                serving.insert(*task, (image.clone(), placed.target_ratio()));
            } else if placed.best_effort {
                let share = f64::from(placed.measurement) / f64::from(capacity);
                *neighbors.entry(image).or_default() += share;
            }
        }
        let neighbors = neighbors.into_iter().map(|(image, share)| (image.clone(), share));
        Measured { at: now, serving, neighbors: neighbors.collect() }
    }

    /// Returns the learned disturbances between the images at a worker.
    pub(super) fn disturbances(&self, worker: &Worker) -> Vec<Disturbance> {
        let images = |serving: bool| {
            let placed = worker.placed.values().filter(move |placed| {
                if serving { placed.target_ms > 0 } else { placed.best_effort }
            });
            placed.filter_map(|placed| placed.image.as_ref()).collect::<BTreeSet<_>>()
        };
        let (victims, neighbors) = (images(true), images(false));
        let mut disturbances = Vec::new();
        if neighbors.is_empty() {
            return disturbances;
        }
        #[allow(clippy::cast_possible_truncation)]
        for victim in victims {
            if disturbances.len() >= MAX_DISTURBANCES {
                break;
            }
            let added = self.rates.base(victim) as f32;
            disturbances.push(Disturbance { victim: victim.clone(), neighbor: None, added });
            let known = neighbors.iter().filter(|neighbor| self.rates.knows(victim, neighbor));
            for neighbor in known.take(MAX_DISTURBANCES) {
                let added = self.rates.added(victim, neighbor) as f32;
                let neighbor = Some((*neighbor).clone());
                disturbances.push(Disturbance { victim: victim.clone(), neighbor, added });
            }
        }
        disturbances
    }
}
