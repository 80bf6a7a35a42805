//! How work slows down other work on the same worker.

use super::work::{FULL_SHARE, Work};
use foldhash::HashMap;
use shallotflow_core::name::Name;
use shallotflow_core::settings::standin::Disturbance;

/// The slowdown that each kind of work causes to each other kind.
#[derive(Clone, Debug)]
pub(super) struct Interference {
    kinds: HashMap<Name, usize>,
    /// Relative slowdown, as a fraction, indexed by victim and then by neighbor.
    added: Vec<Vec<f64>>,
    millicores: f64,
}

impl Interference {
    pub(super) fn new(disturbances: &[Disturbance], millicores: u32) -> Self {
        let mut kinds = HashMap::default();
        for kind in disturbances.iter().flat_map(|pair| [&pair.victim, &pair.neighbor]) {
            let next = kinds.len();
            kinds.entry(kind.clone()).or_insert(next);
        }
        let mut added = vec![vec![0.0; kinds.len()]; kinds.len()];
        for pair in disturbances {
            let (victim, neighbor) = (kinds[&pair.victim], kinds[&pair.neighbor]);
            added[victim][neighbor] = f64::from(pair.slowdown_milli) / 1_000.0;
        }
        Self { kinds, added, millicores: f64::from(millicores).max(1.0) }
    }

    /// The index of a kind that causes or suffers interference.
    pub(super) fn kind_index(&self, kind: &str) -> Option<usize> {
        self.kinds.get(kind).copied()
    }

    /// The slowdown factor of each of `active`, relative to a run alone at the same share.
    pub(super) fn slowdowns(&self, active: &[&Work]) -> Vec<f64> {
        let demand: u64 = active.iter().map(|work| work.millicores()).sum();
        let oversubscription = (demand as f64 / self.millicores).max(1.0);
        let mut shares = vec![0.0; self.added.len()];
        for work in active {
            if let Some(index) = work.kind_index {
                shares[index] += work.share();
            }
        }
        active.iter().map(|work| (1.0 + self.added_to(work, &shares)) * oversubscription).collect()
    }

    /// The slowdown that the neighbors of `work` add, given the sum of the shares of each kind.
    fn added_to(&self, work: &Work, shares: &[f64]) -> f64 {
        let Some(index) = work.kind_index else { return 0.0 };
        let added = &self.added[index];
        let total: f64 = added.iter().zip(shares).map(|(added, share)| added * share).sum();
        total - added[index] * work.share()
    }
}

impl Work {
    /// The processor share as a fraction.
    pub(super) fn share(&self) -> f64 {
        f64::from(self.share_milli) / f64::from(FULL_SHARE)
    }
}
