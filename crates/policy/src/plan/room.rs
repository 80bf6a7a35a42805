use super::worker::counted;
use super::{Settings, Worker};
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use std::collections::BTreeMap;

/// What a worker can still take during one pass of placing.
#[derive(Clone, Debug)]
pub(super) struct Room {
    pub(super) capacity: Bundle,
    pub(super) free: Bundle,
    /// Processors that its runs are expected to use, thousandths.
    pub(super) used: f64,
    /// Runs by image, for what disturbs what.
    pub(super) serving: u32,
    pub(super) filling: u32,
}

impl Room {
    pub(super) fn of(worker: &Worker, capacity: Bundle, settings: &Settings) -> Self {
        let mut taken = Bundle::default();
        for placed in worker.placed.values() {
            taken = taken.plus(&counted(placed));
        }
        let serving = worker.placed.values().filter(|placed| placed.target_ms > 0).count();
        let filling = worker.placed.values().filter(|placed| placed.fills).count();
        Self {
            capacity,
            free: capacity.minus(&taken),
            used: worker.expected_use(settings.serving_use),
            serving: u32::try_from(serving).unwrap_or(u32::MAX),
            filling: u32::try_from(filling).unwrap_or(u32::MAX),
        }
    }

    /// Expected use of the processors with `more` thousandths of them, as a share.
    pub(super) fn pressure(&self, more: f64) -> f64 {
        (self.used + more) / f64::from(self.capacity.millicores.max(1))
    }
}

/// The rooms of workers by their agents.
pub(super) type Rooms = BTreeMap<Name, Room>;
