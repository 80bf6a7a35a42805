use shallotflow_core::graph::Step;
use shallotflow_core::resources::Bundle;

/// The resources that a run needs from a worker, before or after it is placed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Demand {
    pub(super) need: Bundle,
    pub(super) best_effort: bool,
    pub(super) serving: bool,
}

impl Demand {
    /// Returns the demand of a task of `step`.
    pub(super) fn of(step: &Step) -> Self {
        Self { need: step.need, best_effort: step.fills, serving: step.target_ms > 0 }
    }

    /// Returns what the run reserves at a worker: a best-effort task reserves memory but no
    /// processors.
    pub(super) fn reserved(&self) -> Bundle {
        if self.best_effort { Bundle { millicores: 0, ..self.need } } else { self.need }
    }

    /// Expected processor use in thousandths of a processor.
    pub(super) fn expected_use(&self, serving_use: f64) -> f64 {
        let millicores = f64::from(self.need.millicores);
        if self.serving { millicores * serving_use } else { millicores }
    }
}
