use super::demand::Demand;
use super::{Settings, Worker};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use std::collections::BTreeMap;

/// Cost of each serving task of another image at a worker.
const OTHER_IMAGE: f64 = 0.05;
/// Gain of each serving task of the same image.
const SAME_IMAGE: f64 = 0.1;
/// Gain of a worker whose processors are expected to be used in full, against an idle one.
const FULL_WORKER: f64 = 1.0;

/// What a worker can still take during one pass of placing.
#[derive(Clone, Debug)]
pub(super) struct Headroom {
    pub(super) capacity: Bundle,
    pub(super) free: Bundle,
    /// Processors that its runs are expected to use, thousandths.
    pub(super) used: f64,
    /// Serving tasks by image.
    pub(super) serving: BTreeMap<Name, u32>,
    /// Tasks that fill, by image, with their shares of the processors.
    pub(super) best_effort: Vec<(Name, f64)>,
}

impl Headroom {
    pub(super) fn of(worker: &Worker, capacity: Bundle, settings: &Settings) -> Self {
        let mut room = Self {
            capacity,
            free: capacity,
            used: worker.expected_use(settings.serving_use),
            serving: BTreeMap::new(),
            best_effort: Vec::new(),
        };
        for placed in worker.placed.values() {
            room.add_run(placed.image.as_ref(), placed.demand());
        }
        room
    }

    /// Takes one more run in, but for the processors that it is expected to use.
    pub(super) fn add_run(&mut self, image: Option<&Name>, demand: Demand) {
        self.free = self.free.minus(&demand.reserved());
        let image = image.cloned().unwrap_or_else(|| Name::from(""));
        if demand.best_effort {
            self.best_effort.push((image, self.share(demand.need)));
        } else if demand.serving {
            *self.serving.entry(image).or_default() += 1;
        }
    }

    /// The share of the worker's processors that `need` asks for.
    pub(super) fn share(&self, need: Bundle) -> f64 {
        f64::from(need.millicores) / f64::from(self.capacity.millicores.max(1))
    }

    /// Expected use of the processors with `more` thousandths of them, as a share.
    pub(super) fn pressure(&self, more: f64) -> f64 {
        (self.used + more) / f64::from(self.capacity.millicores.max(1))
    }

    /// What a serving task of `image` costs here; lower is better.
    ///
    /// A task that fills disturbs some images much and others little. Serving tasks are packed, by
    /// image where that can be, so that other workers stay free for tasks that fill.
    pub(super) fn serving_cost(&self, image: Option<&Name>) -> f64 {
        let same = image.and_then(|image| self.serving.get(image)).copied().unwrap_or(0);
        let others = self.serving.values().sum::<u32>() - same;
        OTHER_IMAGE * f64::from(others)
            - SAME_IMAGE * f64::from(same)
            - FULL_WORKER * self.pressure(0.0)
    }
}

/// The rooms of workers by their agents.
pub(super) type Headrooms = BTreeMap<Name, Headroom>;
