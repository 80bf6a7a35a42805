use shallotflow_core::resources::Bundle;

/// What a run does at its worker.
#[derive(Clone, Copy)]
pub(crate) struct Work {
    /// How long it takes if nothing slows it down, in milliseconds.
    pub(crate) takes: u64,
    /// Whether it fails at its end.
    pub(crate) fails: bool,
    pub(crate) need: Bundle,
    /// Whether it uses only the processors that other runs leave.
    pub(crate) best_effort: bool,
}

impl Work {
    /// Returns what the run reserves at its worker.
    pub(crate) fn reserved(&self) -> Bundle {
        if self.best_effort { Bundle { millicores: 0, ..self.need } } else { self.need }
    }
}
