use super::Error;
use foldhash::HashMap;
use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;
use std::collections::BTreeSet;

/// Base of a victim without measurements, as a share of its target.
const INITIAL_BASE: f64 = 0.45;
/// Measurements are capped at this, so that one extreme does not outweigh all others.
const MAX_MEASUREMENT: f64 = 3.0;
/// Share of a worker whose weight in a correction equals that of the base; typical of one task.
const TYPICAL_SHARE: f64 = 0.1;
/// Pairs that add less than this for a whole worker are left out of a snapshot.
const MIN_SNAPSHOT_ADDED: f64 = 0.05;
/// Maximum number of victims in a snapshot, and of neighbors of each: with names of 255 bytes it stays
/// within half of what a store keeps under one key.
const MAX_SNAPSHOT_IMAGES: usize = 40;
/// Maximum number of victims in the model, and of neighbors of each; a new one takes the place of another.
const MAX_IMAGES: usize = 1_000;
/// Part of an error that one measurement corrects.
const ADDED_LEARNING_RATE: f64 = 0.3;
/// The same for the base, which has to average over the fluctuations of the victim's own load.
const BASE_LEARNING_RATE: f64 = 0.06;

/// Linear model of a victim's tail latency by the shares of the worker that its neighbors use.
///
/// A measurement is a victim's tail latency as a share of its target. The expected value is the
/// base of the victim plus, for each neighbor, the rate of the pair times the share of the worker's
/// processors that the neighbor uses. Each measurement corrects the model by normalized least mean
/// squares.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Rates {
    bases: HashMap<Name, f64>,
    added: HashMap<Name, HashMap<Name, f64>>,
    #[serde(skip)]
    error: Error,
}

impl Rates {
    /// Expected measurement of `victim` without neighbors, as a share of its target.
    pub fn base(&self, victim: &str) -> f64 {
        self.bases.get(victim).copied().unwrap_or(INITIAL_BASE)
    }

    /// Amount that `neighbor` adds to the measurement of `victim` if it uses a whole worker.
    pub fn added(&self, victim: &str, neighbor: &str) -> f64 {
        let added = self.added.get(victim).and_then(|neighbors| neighbors.get(neighbor));
        added.copied().unwrap_or(0.0)
    }

    /// Amount that `neighbor` adds to the measurement of a victim at the mean of all victims beside
    /// which it was measured; `None` if there is none.
    pub fn mean_added(&self, neighbor: &str) -> Option<f64> {
        let added = self.added.values().filter_map(|neighbors| neighbors.get(neighbor));
        let (count, sum) = added.fold((0_u32, 0.0), |(count, sum), added| (count + 1, sum + added));
        (count > 0).then(|| sum / f64::from(count))
    }

    /// Returns the part of the model that concerns `images` and is large enough to be stored for a
    /// later owner.
    pub fn snapshot_for(&self, images: &BTreeSet<Name>) -> Self {
        let bases = self.bases.iter().filter(|(victim, _)| images.contains(*victim));
        let pair = |(name, added): (&Name, &f64)| {
            (images.contains(name) && *added >= MIN_SNAPSHOT_ADDED).then(|| (name.clone(), *added))
        };
        let added = self.added.iter().filter(|(victim, _)| images.contains(*victim));
        let (bases, added) = (bases.take(MAX_SNAPSHOT_IMAGES), added.take(MAX_SNAPSHOT_IMAGES));
        Self {
            bases: bases.map(|(victim, base)| (victim.clone(), *base)).collect(),
            error: Error::default(),
            added: added
                .map(|(victim, pairs)| {
                    (
                        victim.clone(),
                        pairs.iter().filter_map(pair).take(MAX_SNAPSHOT_IMAGES).collect(),
                    )
                })
                .collect(),
        }
    }

    /// Expected measurement of `victim` next to neighbors with their shares of the worker.
    pub fn expected<'a>(
        &self,
        victim: &str,
        neighbors: impl IntoIterator<Item = (&'a Name, f64)>,
    ) -> f64 {
        let neighbors = neighbors.into_iter();
        let added = neighbors.map(|(name, share)| self.added(victim, name) * share);
        self.base(victim) + added.sum::<f64>()
    }

    /// Returns how well the model has predicted the latest measurements.
    pub fn error(&self) -> Error {
        self.error
    }

    /// Returns the number of pairs, and of those of which the neighbor adds more than `added`.
    pub fn pairs(&self, added: f64) -> (usize, usize) {
        let pairs = self.added.values().flat_map(HashMap::values);
        pairs.fold((0, 0), |(all, above), pair| (all + 1, above + usize::from(*pair > added)))
    }

    /// Sets the value of a pair, or the base of `victim` if there is no neighbor.
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

    /// Learns from a measurement of `victim` next to neighbors with their shares of the worker.
    ///
    /// Measurements that are not finite or are negative are ignored.
    pub fn learn(&mut self, victim: &Name, neighbors: &[(Name, f64)], measurement: f64) {
        if !measurement.is_finite() || measurement < 0.0 {
            return;
        }
        let base = self.base(victim);
        let error = measurement.min(MAX_MEASUREMENT)
            - self.expected(victim, neighbors.iter().map(|(name, share)| (name, *share)));
        self.error.add(error, measurement.min(MAX_MEASUREMENT) - base);
        let scaled = |share: f64| share / TYPICAL_SHARE;
        let norm = 1.0 + neighbors.iter().map(|(_, share)| scaled(*share).powi(2)).sum::<f64>();
        let base = base + BASE_LEARNING_RATE * error / norm;
        if let Some(replaced) = make_room(&mut self.bases, victim) {
            self.added.remove(&replaced);
        }
        self.bases.insert(victim.clone(), base.clamp(0.0, MAX_MEASUREMENT));
        let rates = self.added.entry(victim.clone()).or_default();
        for (name, share) in neighbors {
            make_room(rates, name);
            let added = rates.entry(name.clone()).or_insert(0.0);
            *added = (*added + ADDED_LEARNING_RATE * error * scaled(*share) / norm / TYPICAL_SHARE)
                .max(0.0);
        }
    }
}

/// Removes an image if `rates` is full and lacks `image`; returns the removed one.
fn make_room(rates: &mut HashMap<Name, f64>, image: &Name) -> Option<Name> {
    if rates.len() < MAX_IMAGES || rates.contains_key(image) {
        return None;
    }
    let replaced = rates.keys().next().cloned()?;
    rates.remove(&replaced);
    Some(replaced)
}
