use super::{Deviation, Sample};
use foldhash::HashMap;
use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;
use std::collections::{BTreeMap, BTreeSet};

/// Base of a victim without measurements, as a share of its target.
const INITIAL_BASE: f64 = 0.45;
/// Measurements are capped at this, so that one extreme does not outweigh all others.
const MAX_MEASUREMENT: f64 = 3.0;
/// Measurements count as at least this; below it, whole milliseconds say little.
const MIN_MEASUREMENT: f64 = 0.05;
/// Share of a worker whose weight in a correction equals that of the base; typical of one task.
const TYPICAL_SHARE: f64 = 0.1;
/// Pairs that add less than this for a whole worker are left out of a snapshot.
const MIN_SNAPSHOT_ADDED: f64 = 0.05;
/// Maximum number of victims in a snapshot, and of neighbors of each: with names of 255 bytes it stays
/// within half of what a store keeps under one key.
const MAX_SNAPSHOT_IMAGES: usize = 40;
/// Maximum number of victims in the model, and of neighbors of each; a new one takes the place of another.
const MAX_IMAGES: usize = 1_000;
/// Part of an error that one measurement corrects in the base, which has to average over the
/// fluctuations of the victim's own load.
const BASE_LEARNING_RATE: f64 = 0.06;
/// Variance of a pair without measurements: a neighbor may well add four times the target.
const INITIAL_VARIANCE: f64 = 16.0;
/// Lowest variance of a pair, so that its value still follows a change.
const LEAST_VARIANCE: f64 = 0.02;
/// Variance of the change between two measurements of a victim that its neighbors do not explain, before
/// it is known.
const INITIAL_NOISE: f64 = 0.15;
/// The same of a single measurement, which includes the swings of the victim's own load.
const LEVEL_NOISE: f64 = 1.0;
/// Part by which one measurement corrects that variance.
const NOISE_LEARNING_RATE: f64 = 0.02;

/// Model of a victim's tail latency by the shares of the worker that its neighbors use.
///
/// A measurement is a victim's tail latency as a share of its target. The tail latency of a queue grows
/// without bound as its load approaches the capacity, and its reciprocal falls linearly with the load. So
/// the model is linear in the reciprocal: each neighbor lowers it by the rate of the pair times the share
/// of the worker's processors that the neighbor uses.
///
/// A victim's own load swings by more than most neighbors add. Pairs are therefore learned from the change
/// between two successive measurements of one victim, which the swings hardly affect, and each change
/// counts by what is known already: every pair has a variance, as in a Kalman filter without
/// covariances, and the variance of unexplained changes is learned for each victim.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Rates {
    bases: HashMap<Name, f64>,
    added: HashMap<Name, HashMap<Name, f64>>,
    #[serde(skip)]
    variances: HashMap<Name, HashMap<Name, f64>>,
    /// Variances of unexplained changes, by victim.
    #[serde(skip)]
    noise: HashMap<Name, f64>,
    #[serde(skip)]
    deviation: Deviation,
}

/// Returns the reciprocal of a measurement, within the range that the model covers.
fn speed(ratio: f64) -> f64 {
    ratio.clamp(MIN_MEASUREMENT, MAX_MEASUREMENT).recip()
}

/// Returns the measurement with this reciprocal; beyond the range of the model it goes on linearly, so that
/// each further neighbor still counts.
fn ratio(speed: f64) -> f64 {
    let least = MAX_MEASUREMENT.recip();
    if speed >= least {
        speed.recip()
    } else {
        MAX_MEASUREMENT + (least - speed) * MAX_MEASUREMENT.powi(2)
    }
}

impl Rates {
    /// Expected measurement of `victim` without neighbors, as a share of its target.
    pub fn base(&self, victim: &str) -> f64 {
        self.bases.get(victim).copied().unwrap_or(INITIAL_BASE)
    }

    /// Amount that `neighbor` adds to the measurement of `victim` if it uses a whole worker, for a victim
    /// at its target. See [`Rates::raised`] for others.
    pub fn added(&self, victim: &str, neighbor: &str) -> f64 {
        let added = self.added.get(victim).and_then(|neighbors| neighbors.get(neighbor));
        added.copied().unwrap_or(0.0)
    }

    /// Returns whether the model has a value for the pair.
    pub fn knows(&self, victim: &str, neighbor: &str) -> bool {
        self.added.get(victim).is_some_and(|neighbors| neighbors.contains_key(neighbor))
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
            variances: HashMap::default(),
            noise: HashMap::default(),
            deviation: Deviation::default(),
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
        Self::raised(self.base(victim), added.sum())
    }

    /// Measurement of a victim, which was `before`, beside neighbors that add `added` at its target.
    pub fn raised(before: f64, added: f64) -> f64 {
        let beyond = (before - MAX_MEASUREMENT).max(0.0);
        ratio(speed(before) - added) + beyond
    }

    /// By how much neighbors may raise a measurement from `before` to `limit`, in the unit of
    /// [`added`](Self::added); negative if it is above the limit.
    pub fn headroom(before: f64, limit: f64) -> f64 {
        speed(before) - speed(limit)
    }

    /// Returns how well the model has predicted the latest measurements.
    pub fn deviation(&self) -> Deviation {
        self.deviation
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

    /// Learns from the first measurement of a victim.
    ///
    /// Measurements that are not finite or are negative are ignored.
    pub fn learn(&mut self, victim: &Name, sample: &Sample<'_>) {
        if !sample.is_valid() {
            return;
        }
        let expected = self.expected(victim, sample.shares());
        let fallen = speed(expected) - speed(sample.ratio);
        let shares: BTreeMap<&Name, f64> = sample.shares().collect();
        self.correct(victim, &shares, fallen, LEVEL_NOISE);
        self.learn_base(victim, sample);
    }

    /// Learns from two successive measurements of one victim.
    ///
    /// Measurements that are not finite or are negative are ignored.
    pub fn learn_change(&mut self, victim: &Name, before: &Sample<'_>, after: &Sample<'_>) {
        if !before.is_valid() || !after.is_valid() {
            return;
        }
        let mut changes: BTreeMap<&Name, f64> = after.shares().collect();
        for (name, share) in before.shares() {
            *changes.entry(name).or_default() -= share;
        }
        changes.retain(|_, change| change.abs() > f64::EPSILON);
        // Beyond the cap, a change does not show.
        let capped = before.ratio.min(after.ratio) >= MAX_MEASUREMENT;
        if !changes.is_empty() && !capped {
            let fallen = speed(before.ratio) - speed(after.ratio);
            let explained: f64 =
                changes.iter().map(|(name, change)| self.added(victim, name) * change).sum();
            let noise = self.noise.get(victim).copied().unwrap_or(INITIAL_NOISE);
            let unexplained = fallen - explained;
            self.correct(victim, &changes, unexplained, noise);
            let noise = noise + NOISE_LEARNING_RATE * (unexplained.powi(2) - noise);
            self.noise.insert(victim.clone(), noise);
        }
        self.learn_base(victim, after);
    }

    /// Corrects the pairs of `victim` whose neighbors use `shares`, or more by `shares` than before, by the
    /// part of a fall of the reciprocal that they do not explain.
    fn correct(
        &mut self,
        victim: &Name,
        shares: &BTreeMap<&Name, f64>,
        unexplained: f64,
        noise: f64,
    ) {
        let rates = self.added.entry(victim.clone()).or_default();
        let variances = self.variances.entry(victim.clone()).or_default();
        let variance = |variances: &HashMap<Name, f64>, name: &Name| {
            variances.get(name).copied().unwrap_or(INITIAL_VARIANCE)
        };
        let pairs = shares.iter().map(|(name, share)| variance(variances, name) * share * share);
        let total = noise + pairs.sum::<f64>();
        for (name, share) in shares {
            if let Some(replaced) = make_room(rates, name) {
                variances.remove(&replaced);
            }
            let variance = variance(variances, name);
            let gain = variance * share / total;
            let rate = rates.entry((*name).clone()).or_insert(0.0);
            *rate = (*rate + gain * unexplained).max(0.0);
            let variance = (variance * (1.0 - gain * share)).max(LEAST_VARIANCE);
            variances.insert((*name).clone(), variance);
        }
    }

    /// Corrects the base of `victim`, and counts the error of the model.
    fn learn_base(&mut self, victim: &Name, sample: &Sample<'_>) {
        let base = self.base(victim);
        let added: f64 =
            sample.shares().map(|(name, share)| self.added(victim, name) * share).sum();
        let measured = sample.ratio.min(MAX_MEASUREMENT);
        let expected = Self::raised(base, added).min(MAX_MEASUREMENT);
        self.deviation.add(measured - expected, measured - base);
        let weight = sample.shares().map(|(_, share)| (share / TYPICAL_SHARE).powi(2));
        let weight = BASE_LEARNING_RATE / (1.0 + weight.sum::<f64>());
        let alone = speed(sample.ratio) + added;
        if let Some(replaced) = make_room(&mut self.bases, victim) {
            self.added.remove(&replaced);
            self.variances.remove(&replaced);
            self.noise.remove(&replaced);
        }
        let base = ratio(speed(base) + weight * (alone - speed(base)));
        self.bases.insert(victim.clone(), base);
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
