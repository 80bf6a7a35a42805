use shallotflow_core::graph::Step;
use shallotflow_core::resources::Bundle;

/// What a run asks of a worker, placed or not.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    pub(super) need: Bundle,
    pub(super) best_effort: bool,
    pub(super) serving: bool,
}

impl Demand {
    /// What a task of `step` asks for.
    pub(super) fn of(step: &Step) -> Self {
        Self { need: step.need, best_effort: step.best_effort, serving: step.target_ms > 0 }
    }

    /// What it takes of a worker's room: a task that fills takes memory and no processors.
    pub(super) fn reserved(&self) -> Bundle {
        if self.best_effort { Bundle { millicores: 0, ..self.need } } else { self.need }
    }

    /// Processors that it is expected to use, thousandths.
    pub(super) fn expected_use(&self, serving_use: f64) -> f64 {
        let millicores = f64::from(self.need.millicores);
        if self.serving { millicores * serving_use } else { millicores }
    }
}
