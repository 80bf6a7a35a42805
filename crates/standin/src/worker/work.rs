//! One piece of work that a worker runs.

use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;

/// Full speed, in thousandths.
pub(super) const FULL_SHARE: u32 = 1_000;

/// A task or a request in progress.
#[derive(Clone, Debug)]
pub(super) struct Work {
    /// The kind of work.
    pub(super) kind: Name,
    /// The number of its kind, if the kind disturbs or is disturbed.
    pub(super) number: Option<usize>,
    /// What its agent set aside for it.
    pub(super) reserved: Bundle,
    /// What it really uses at full speed.
    pub(super) usage: Bundle,
    /// Run time alone at full speed, microseconds.
    pub(super) total_us: f64,
    /// How much of that is done, microseconds.
    pub(super) done_us: f64,
    /// Processor share that it may use, thousandths.
    pub(super) share_milli: u32,
}

impl Work {
    /// Processor time that it uses at its share, in thousandths of a processor.
    pub(super) fn millicores(&self) -> u64 {
        u64::from(self.usage.millicores) * u64::from(self.share_milli) / u64::from(FULL_SHARE)
    }

    /// Whether it has come to its end.
    pub(super) fn is_done(&self) -> bool {
        self.done_us >= self.total_us
    }
}
