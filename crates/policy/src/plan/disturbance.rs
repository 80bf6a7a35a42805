//! Learns how strongly best-effort tasks disturb serving tasks, by image.

use super::message::Disturbance;
use super::{Phase, Table, Worker};
use crate::disturbance::Rates;
use shallotflow_core::name::Name;
use std::collections::BTreeSet;

/// About the largest number of disturbances in one reply, and of neighbors of one image: some times what
/// a worker has, whose paces an agent still decides without those that are left out.
const MAX_DISTURBANCES: usize = 200;

/// The image of a serving task, and its tail latency as a share of its target.
type Measurement = (Name, f64);
/// The image of a best-effort task, and its share of the worker's processors.
type Share = (Name, f64);

impl Table {
    /// Updates the learned rates from the runs that a worker has just listed.
    pub(super) fn learn_rates(&mut self, agent: &Name) {
        let Some(worker) = self.workers.get(agent) else { return };
        let (measurements, shares) = self.measurements(worker);
        for (victim, measurement) in measurements {
            self.rates.learn(&victim, &shares, measurement);
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

    fn measurements(&self, worker: &Worker) -> (Vec<Measurement>, Vec<Share>) {
        let mut measurements = Vec::new();
        let mut shares = Vec::new();
        let capacity = worker.profile.as_ref().map_or(1, |p| p.capacity.millicores.max(1));
        for (task, placed) in &worker.placed {
            let state = self.task_state(task);
            let Some(state) = state.filter(|state| matches!(state.phase, Phase::Running { .. }))
            else {
                continue;
            };
            let Some(image) = &placed.image else { continue };
            if placed.target_ms > 0 && state.percent >= 100 && placed.measurement > 0 {
                let measurement = f64::from(placed.measurement) / f64::from(placed.target_ms);
                measurements.push((image.clone(), measurement));
            } else if placed.best_effort {
                shares.push((image.clone(), f64::from(placed.measurement) / f64::from(capacity)));
            }
        }
        (measurements, shares)
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
            for neighbor in neighbors.iter().take(MAX_DISTURBANCES) {
                let added = self.rates.added(victim, neighbor) as f32;
                let neighbor = Some((*neighbor).clone());
                disturbances.push(Disturbance { victim: victim.clone(), neighbor, added });
            }
        }
        disturbances
    }
}
