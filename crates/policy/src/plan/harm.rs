//! The system that learns how images disturb each other.

use super::message::Harm;
use super::{Phase, Table, Worker};
use crate::disturbance::Rates;
use shallotflow_core::name::Name;
use std::collections::BTreeSet;

/// A serving task's image and its tail latency as a share of its target.
type Measure = (Name, f64);
/// A filling task's image and its share of the worker's processors.
type Share = (Name, f64);

impl Table {
    /// Learns from what a worker has just listed.
    pub(super) fn learn(&mut self, agent: &Name) {
        let Some(worker) = self.workers.get(agent) else { return };
        let (measures, shares) = self.measured(worker);
        for (victim, measure) in measures {
            self.rates.learn(&victim, &shares, measure);
        }
    }

    /// What was learned of the images of jobs that have not ended, for a later owner.
    pub fn learned(&self) -> Rates {
        let active = self.active.iter().filter_map(|id| self.jobs.get(id));
        let images =
            active.flat_map(|job| job.spec.steps.iter().filter_map(|step| step.image.clone()));
        self.rates.snapshot_for(&images.collect())
    }

    /// Takes over what a former owner learned.
    pub fn inherit(&mut self, learned: Rates) {
        self.rates = learned;
    }

    fn measured(&self, worker: &Worker) -> (Vec<Measure>, Vec<Share>) {
        let mut measures = Vec::new();
        let mut shares = Vec::new();
        let capacity = worker.profile.as_ref().map_or(1, |p| p.capacity.millicores.max(1));
        for (task, placed) in &worker.placed {
            let row = self.row(task);
            let Some(row) = row.filter(|row| matches!(row.phase, Phase::Running { .. })) else {
                continue;
            };
            let Some(image) = &placed.image else { continue };
            if placed.target_ms > 0 && row.percent >= 100 && placed.figure > 0 {
                let measure = f64::from(placed.figure) / f64::from(placed.target_ms);
                measures.push((image.clone(), measure));
            } else if placed.fills {
                shares.push((image.clone(), f64::from(placed.figure) / f64::from(capacity)));
            }
        }
        (measures, shares)
    }

    /// What is known of the images at a worker.
    pub(super) fn harm(&self, worker: &Worker) -> Vec<Harm> {
        let images = |serving: bool| {
            let placed = worker
                .placed
                .values()
                .filter(move |placed| if serving { placed.target_ms > 0 } else { placed.fills });
            placed.filter_map(|placed| placed.image.as_ref()).collect::<BTreeSet<_>>()
        };
        let (victims, neighbors) = (images(true), images(false));
        let mut harm = Vec::new();
        if neighbors.is_empty() {
            return harm;
        }
        #[allow(clippy::cast_possible_truncation)]
        for victim in victims {
            let added = self.rates.base(victim) as f32;
            harm.push(Harm { victim: victim.clone(), neighbor: None, added });
            for neighbor in &neighbors {
                let added = self.rates.added(victim, neighbor) as f32;
                let neighbor = Some((*neighbor).clone());
                harm.push(Harm { victim: victim.clone(), neighbor, added });
            }
        }
        harm
    }
}
