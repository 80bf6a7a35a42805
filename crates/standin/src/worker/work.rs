//! A unit of work that a worker runs.

use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;

/// The share of work at full speed, in thousandths.
pub(super) const FULL_SHARE: u32 = 1_000;

/// A running task or a request in flight.
#[derive(Clone, Debug)]
pub(super) struct Work {
    /// Kind of work.
    pub(super) kind: Name,
    /// Index of the kind, if it causes or suffers interference.
    pub(super) kind_index: Option<usize>,
    /// Resources that the agent reserved for it.
    pub(super) reserved: Bundle,
    /// Actual resource use at full speed.
    pub(super) usage: Bundle,
    /// Run time at full speed without interference, in microseconds.
    pub(super) total_us: f64,
    /// The part of the run time that is done, in microseconds.
    pub(super) done_us: f64,
    /// Processor share that it may use, in thousandths.
    pub(super) share_milli: u32,
}

impl Work {
    /// Processor use at the current share, in thousandths of a processor.
    pub(super) fn millicores(&self) -> u64 {
        u64::from(self.usage.millicores) * u64::from(self.share_milli) / u64::from(FULL_SHARE)
    }

    /// Whether the work is done.
    pub(super) fn is_done(&self) -> bool {
        self.done_us >= self.total_us
    }
}
