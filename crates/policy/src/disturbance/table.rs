//! Learned slowdowns by pair of kinds.

use super::Settings;
use foldhash::{HashMap, HashMapExt};
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;

/// Measured slowdowns above this factor are ignored.
const MAX_SLOWDOWN: f64 = 100.0;

/// Learned slowdowns by victim and neighbor.
#[derive(Clone, Debug)]
pub struct Table {
    settings: Settings,
    pairs: HashMap<Name, HashMap<Name, Pair>>,
    length: usize,
}

/// Slowdown that a neighbor adds to its victim, as a fraction of the run time.
#[derive(Clone, Copy, Debug)]
struct Pair {
    added: f64,
    updated: Time,
}

impl Table {
    /// Creates a table in which every pair has the prior.
    pub fn new(settings: Settings) -> Self {
        Self { settings, pairs: HashMap::new(), length: 0 }
    }

    /// Number of measured pairs.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there are no measured pairs.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Slowdown that one `neighbor` adds to `victim`, as a fraction of the run time.
    pub fn added(&self, victim: &str, neighbor: &str, now: Time) -> f64 {
        let prior = f64::from(self.settings.prior_milli) / 1_000.0;
        let pair = self.pairs.get(victim).and_then(|pairs| pairs.get(neighbor));
        let Some(pair) = pair else { return prior };
        let half_life = self.settings.half_life.as_secs_f64().max(f64::MIN_POSITIVE);
        let kept = (-now.since(pair.updated).as_secs_f64() / half_life).exp2();
        prior + (pair.added - prior) * kept
    }

    /// Expected slowdown factor of `victim` next to `neighbors`; 1 means no slowdown.
    pub fn slowdown(&self, victim: &str, neighbors: &[Name], now: Time) -> f64 {
        1.0 + neighbors.iter().map(|neighbor| self.added(victim, neighbor, now)).sum::<f64>()
    }

    /// Learns from the slowdown of `victim` that was measured next to `neighbors` at `time`.
    ///
    /// The error is divided equally among the neighbors. Measurements that are not finite or out of
    /// range are ignored.
    pub fn learn(&mut self, victim: &Name, neighbors: &[Name], slowdown: f64, time: Time) {
        if !(0.0..=MAX_SLOWDOWN).contains(&slowdown) || neighbors.is_empty() {
            return;
        }
        let error = slowdown - self.slowdown(victim, neighbors, time);
        let rate = f64::from(self.settings.rate_milli) / 1_000.0;
        let share = rate * error / neighbors.len() as f64;
        for neighbor in neighbors {
            // A kind that ran several times takes one part of the error for each.
            let added = (self.added(victim, neighbor, time) + share).max(0.0);
            let known = self.pairs.get(victim).and_then(|pairs| pairs.get(neighbor));
            let updated = known.map_or(time, |pair| pair.updated.max(time));
            self.set(victim, neighbor, Pair { added, updated });
        }
    }

    fn set(&mut self, victim: &Name, neighbor: &Name, pair: Pair) {
        let pairs = self.pairs.entry(victim.clone()).or_default();
        if pairs.insert(neighbor.clone(), pair).is_none() {
            self.length += 1;
        }
        while self.length > self.settings.pairs {
            self.remove_oldest();
        }
    }

    fn remove_oldest(&mut self) {
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
