//! How fast work runs beside other work.

use super::work::{FULL_SHARE, Work};
use foldhash::HashMap;
use shallotflow_core::name::Name;
use shallotflow_core::settings::standin::Disturbance;

/// Slowdown of each kind by each other.
#[derive(Clone, Debug, Default)]
pub(super) struct Pace {
    added_milli: HashMap<(Name, Name), u32>,
    millicores: u64,
}

impl Pace {
    pub(super) fn new(disturbances: &[Disturbance], millicores: u32) -> Self {
        let pair = |entry: &Disturbance| (entry.victim.clone(), entry.neighbor.clone());
        let added_milli =
            disturbances.iter().map(|entry| (pair(entry), entry.slowdown_milli)).collect();
        Self { added_milli, millicores: u64::from(millicores).max(1) }
    }

    /// Work done in each microsecond by the entry `index` of `works`, microseconds.
    pub(super) fn speed(&self, works: &[&Work], index: usize) -> f64 {
        let work = works[index];
        let neighbors = works.iter().enumerate().filter(|(other, _)| *other != index);
        let added: f64 = neighbors.map(|(_, other)| self.added(work, other)).sum();
        let demand: u64 = works.iter().map(|work| work.millicores()).sum();
        let crowding = (demand as f64 / self.millicores as f64).max(1.0);
        share(work) / (1.0 + added) / crowding
    }

    fn added(&self, victim: &Work, neighbor: &Work) -> f64 {
        let pair = (victim.kind.clone(), neighbor.kind.clone());
        let milli = self.added_milli.get(&pair).copied().unwrap_or_default();
        f64::from(milli) / 1_000.0 * share(neighbor)
    }
}

fn share(work: &Work) -> f64 {
    f64::from(work.share_milli) / f64::from(FULL_SHARE)
}
