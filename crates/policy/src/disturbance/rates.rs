use foldhash::HashMap;
use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;
use std::collections::BTreeSet;

/// What a victim's measure is expected to be before anything is known, as a share of its target.
const FIRST_BASE: f64 = 0.45;
/// Measures above this are taken as this: one extreme must not outweigh all others.
const LARGEST: f64 = 3.0;
/// A share of a worker that weighs as much as the base in one correction: typical of one task.
const TYPICAL_SHARE: f64 = 0.1;
/// What adds less to a measure than this, for a whole worker, is not worth keeping.
const LEAST_KEPT: f64 = 0.05;
/// The share of an error that one measure corrects.
const RATE: f64 = 0.3;
/// The same for the base, which has to average over swings of the victim's own load.
const BASE_RATE: f64 = 0.06;

/// What each share of a worker that a neighbor uses adds to a victim's measure, learned per pair.
///
/// A measure is a victim's tail latency as a share of its target. It is expected to be the base
/// of the victim plus, for each neighbor, what the pair adds times the share of the worker's
/// processors that the neighbor uses. Each measure corrects its expectation by normalised least
/// squares.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Rates {
    bases: HashMap<Name, f64>,
    added: HashMap<Name, HashMap<Name, f64>>,
}

impl Rates {
    /// What `victim` measures with no neighbor, as a share of its target.
    pub fn base(&self, victim: &str) -> f64 {
        self.bases.get(victim).copied().unwrap_or(FIRST_BASE)
    }

    /// What a whole worker of `neighbor` adds to the measure of `victim`.
    pub fn added(&self, victim: &str, neighbor: &str) -> f64 {
        let added = self.added.get(victim).and_then(|neighbors| neighbors.get(neighbor));
        added.copied().unwrap_or(0.0)
    }

    /// What is known of `images` and is worth keeping for a later owner.
    pub fn snapshot_for(&self, images: &BTreeSet<Name>) -> Self {
        let bases = self.bases.iter().filter(|(victim, _)| images.contains(*victim));
        let pair = |(name, added): (&Name, &f64)| {
            (images.contains(name) && *added >= LEAST_KEPT).then(|| (name.clone(), *added))
        };
        let added = self.added.iter().filter(|(victim, _)| images.contains(*victim));
        Self {
            bases: bases.map(|(victim, base)| (victim.clone(), *base)).collect(),
            added: added
                .map(|(victim, pairs)| (victim.clone(), pairs.iter().filter_map(pair).collect()))
                .collect(),
        }
    }

    /// The expected measure of `victim` beside neighbors with their shares of the worker.
    pub fn expected(&self, victim: &str, neighbors: &[(Name, f64)]) -> f64 {
        let added = neighbors.iter().map(|(name, share)| self.added(victim, name) * share);
        self.base(victim) + added.sum::<f64>()
    }

    /// Sets what is known of a pair, or of a base where there is no neighbor.
    pub fn set(&mut self, victim: &Name, neighbor: Option<&Name>, value: f64) {
        match neighbor {
            Some(neighbor) => {
                let neighbors = self.added.entry(victim.clone()).or_default();
                neighbors.insert(neighbor.clone(), value);
            }
            None => {
                self.bases.insert(victim.clone(), value);
            }
        }
    }

    /// Takes a measure of `victim` beside neighbors with their shares of the worker.
    ///
    /// Measures that are not finite or below zero are dropped.
    pub fn learn(&mut self, victim: &Name, neighbors: &[(Name, f64)], measure: f64) {
        if !measure.is_finite() || measure < 0.0 {
            return;
        }
        let error = measure.min(LARGEST) - self.expected(victim, neighbors);
        let scaled = |share: f64| share / TYPICAL_SHARE;
        let norm = 1.0 + neighbors.iter().map(|(_, share)| scaled(*share).powi(2)).sum::<f64>();
        let base = self.base(victim) + BASE_RATE * error / norm;
        self.bases.insert(victim.clone(), base.clamp(0.0, LARGEST));
        let own = self.added.entry(victim.clone()).or_default();
        for (name, share) in neighbors {
            let added = own.entry(name.clone()).or_insert(0.0);
            *added = (*added + RATE * error * scaled(*share) / norm / TYPICAL_SHARE).max(0.0);
        }
    }
}
