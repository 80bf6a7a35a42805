use super::demand::Demand;
use super::{Settings, Worker};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use std::collections::BTreeMap;

/// Cost of each serving task of another image at a worker.
const OTHER_IMAGE_COST: f64 = 0.05;
/// Gain of each serving task of the same image at a worker.
const SAME_IMAGE_GAIN: f64 = 0.1;
/// Gain of a worker with fully used processors over an idle one.
const FULL_WORKER_GAIN: f64 = 1.0;

/// Free resources of a worker during one placement pass.
#[derive(Clone, Debug)]
pub(super) struct Headroom {
    pub(super) capacity: Bundle,
    pub(super) free: Bundle,
    /// Expected processor use of its runs, thousandths of a processor.
    pub(super) used: f64,
    /// Number of serving tasks by image.
    pub(super) serving: BTreeMap<Name, u32>,
    /// Images of best-effort tasks, with their shares of the processors.
    pub(super) best_effort: Vec<(Name, f64)>,
}

impl Headroom {
    pub(super) fn of(worker: &Worker, capacity: Bundle, settings: &Settings) -> Self {
        let mut headroom = Self {
            capacity,
            free: capacity,
            used: worker.expected_use(settings.serving_use),
            serving: BTreeMap::new(),
            best_effort: Vec::new(),
        };
        for placed in worker.placed.values() {
            headroom.add_run(placed.image.as_ref(), placed.demand());
        }
        headroom
    }

    /// Adds a run, except for its expected processor use.
    pub(super) fn add_run(&mut self, image: Option<&Name>, demand: Demand) {
        self.free = self.free.minus(&demand.reserved());
        let image = image.cloned().unwrap_or_else(|| Name::from(""));
        if demand.best_effort {
            self.best_effort.push((image, self.share(demand.need)));
        } else if demand.serving {
            *self.serving.entry(image).or_default() += 1;
        }
    }

    /// Returns the share of the worker's processors that `need` requests.
    pub(super) fn share(&self, need: Bundle) -> f64 {
        f64::from(need.millicores) / f64::from(self.capacity.millicores.max(1))
    }

    /// Returns the expected processor use with `extra` thousandths of a processor added, as a share of
    /// the capacity.
    pub(super) fn pressure(&self, extra: f64) -> f64 {
        (self.used + extra) / f64::from(self.capacity.millicores.max(1))
    }

    /// Returns the score of the worker for a serving task of `image`; lower is better.
    ///
    /// A best-effort task disturbs some images much and others little. Serving tasks are packed, by
    /// image where possible, so that other workers stay free for best-effort tasks.
    pub(super) fn serving_cost(&self, image: Option<&Name>) -> f64 {
        let same = image.and_then(|image| self.serving.get(image)).copied().unwrap_or(0);
        let others = self.serving.values().sum::<u32>() - same;
        OTHER_IMAGE_COST * f64::from(others)
            - SAME_IMAGE_GAIN * f64::from(same)
            - FULL_WORKER_GAIN * self.pressure(0.0)
    }
}

/// The headroom of each worker, by agent.
pub(super) type Headrooms = BTreeMap<Name, Headroom>;
