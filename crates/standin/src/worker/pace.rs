//! How fast work runs beside other work.

use super::work::{FULL_SHARE, Work};
use foldhash::HashMap;
use shallotflow_core::name::Name;
use shallotflow_core::settings::standin::Disturbance;

/// Slowdown of each kind by each other.
#[derive(Clone, Debug)]
pub(super) struct Pace {
    kinds: HashMap<Name, usize>,
    /// What each neighbor adds to each victim, as a fraction; by victim, then by neighbor.
    added: Vec<Vec<f64>>,
    millicores: f64,
}

impl Pace {
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

    /// The number of a kind that disturbs or is disturbed.
    pub(super) fn number(&self, kind: &str) -> Option<usize> {
        self.kinds.get(kind).copied()
    }

    /// How many times slower than alone at its share each of `works` runs.
    pub(super) fn slowdowns(&self, works: &[&Work]) -> Vec<f64> {
        let demand: u64 = works.iter().map(|work| work.millicores()).sum();
        let crowding = (demand as f64 / self.millicores).max(1.0);
        let mut shares = vec![0.0; self.added.len()];
        for work in works {
            if let Some(number) = work.number {
                shares[number] += work.share();
            }
        }
        works.iter().map(|work| (1.0 + self.added_to(work, &shares)) * crowding).collect()
    }

    /// What the neighbors of `work` add, given the shares of all kinds together.
    fn added_to(&self, work: &Work, shares: &[f64]) -> f64 {
        let Some(number) = work.number else { return 0.0 };
        let added = &self.added[number];
        let all: f64 = added.iter().zip(shares).map(|(added, share)| added * share).sum();
        all - added[number] * work.share()
    }
}

impl Work {
    /// The processor share as a fraction.
    pub(super) fn share(&self) -> f64 {
        f64::from(self.share_milli) / f64::from(FULL_SHARE)
    }
}
