//! What each pair of kinds adds.

use super::Settings;
use foldhash::{HashMap, HashMapExt};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;

/// The largest slowdown that a measurement may claim.
const MAX_SLOWDOWN: f64 = 100.0;

/// Learned slowdowns.
#[derive(Clone, Debug)]
pub struct Table {
    settings: Settings,
    pairs: HashMap<Name, HashMap<Name, Pair>>,
    length: usize,
}

/// What a neighbor adds to the run time of its victim, as a fraction.
#[derive(Clone, Copy, Debug)]
struct Pair {
    added: f64,
    updated: Time,
}

impl Table {
    /// A table of priors.
    pub fn new(settings: Settings) -> Self {
        Self { settings, pairs: HashMap::new(), length: 0 }
    }

    /// Pairs that were measured and are kept.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether no pair was measured.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// What one `neighbor` adds to the run time of `victim`, as a fraction.
    pub fn added(&self, victim: &str, neighbor: &str, now: Time) -> f64 {
        let prior = f64::from(self.settings.prior_milli) / 1_000.0;
        let pair = self.pairs.get(victim).and_then(|pairs| pairs.get(neighbor));
        let Some(pair) = pair else { return prior };
        let half_life = self.settings.half_life.as_secs_f64().max(f64::MIN_POSITIVE);
        let kept = (-now.since(pair.updated).as_secs_f64() / half_life).exp2();
        prior + (pair.added - prior) * kept
    }

    /// The expected slowdown of `victim` beside `neighbors`; one means none.
    pub fn slowdown(&self, victim: &str, neighbors: &[Name], now: Time) -> f64 {
        1.0 + neighbors.iter().map(|neighbor| self.added(victim, neighbor, now)).sum::<f64>()
    }

    /// Takes the slowdown of `victim` that was measured beside `neighbors` at `moment`.
    ///
    /// The error is shared among the neighbors. Measurements that are not finite or out of range
    /// are dropped.
    pub fn learn(&mut self, victim: &Name, neighbors: &[Name], slowdown: f64, moment: Time) {
        if !(0.0..=MAX_SLOWDOWN).contains(&slowdown) || neighbors.is_empty() {
            return;
        }
        let error = slowdown - self.slowdown(victim, neighbors, moment);
        let rate = f64::from(self.settings.rate_milli) / 1_000.0;
        let share = rate * error / neighbors.len() as f64;
        for neighbor in neighbors {
            // A kind that ran more than once takes a share for each.
            let added = (self.added(victim, neighbor, moment) + share).max(0.0);
            let known = self.pairs.get(victim).and_then(|pairs| pairs.get(neighbor));
            let updated = known.map_or(moment, |pair| pair.updated.max(moment));
            self.set(victim, neighbor, Pair { added, updated });
        }
    }

    fn set(&mut self, victim: &Name, neighbor: &Name, pair: Pair) {
        let pairs = self.pairs.entry(victim.clone()).or_default();
        if pairs.insert(neighbor.clone(), pair).is_none() {
            self.length += 1;
        }
        while self.length > self.settings.pairs {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let all = self.pairs.iter().flat_map(|(victim, pairs)| {
            pairs.iter().map(move |(neighbor, pair)| (pair.updated, victim, neighbor))
        });
        let oldest = all.min().map(|(_, victim, neighbor)| (victim.clone(), neighbor.clone()));
        let Some((victim, neighbor)) = oldest else { return };
        if let Some(pairs) = self.pairs.get_mut(&victim) {
            pairs.remove(&neighbor);
            if pairs.is_empty() {
                self.pairs.remove(&victim);
            }
        }
        self.length -= 1;
    }
}
