use shallotflow_core::name::Name;

/// A measurement of a victim beside its neighbors.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// Tail latency of the victim, as a share of its target.
    pub ratio: f64,
    /// Neighbors, each once, with the shares of the worker's processors that they use.
    pub neighbors: &'a [(Name, f64)],
}

impl<'a> Sample<'a> {
    /// Returns whether the measurement can be one.
    pub(super) fn is_valid(&self) -> bool {
        self.ratio.is_finite() && self.ratio >= 0.0
    }

    /// Returns the neighbors with their shares.
    pub(super) fn shares(&self) -> impl Iterator<Item = (&'a Name, f64)> + use<'a> {
        self.neighbors.iter().map(|(name, share)| (name, *share))
    }
}
