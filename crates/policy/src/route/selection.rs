//! Selection of one target among those of a kind.

use super::stats::{Cost, Stats};
use super::{Query, Settings};
use rand::Rng;
use rand::rngs::SmallRng;
use shallotflow_core::class::Class;
use shallotflow_core::time::Time;

/// Index of a target, with its cost.
pub(super) type Candidate = (u32, Cost);

/// Inputs for one choice among the targets of a kind.
pub(super) struct Selection<'a> {
    pub(super) settings: &'a Settings,
    pub(super) stats: &'a [Stats],
    /// Indices of the eligible targets of the kind.
    pub(super) eligible: &'a [u32],
    /// Index of the entry's failure domain.
    pub(super) domain: u32,
    pub(super) query: &'a Query<'a>,
    pub(super) now: Time,
}

impl Selection<'_> {
    /// Draws pairs of targets until one has no expected wait or the number of pairs is reached, and
    /// returns the best target drawn.
    pub(super) fn run(&self, rng: &mut SmallRng) -> Option<Candidate> {
        if self.eligible.len() <= self.query.tried.len() + 1 {
            return self.best_of_all();
        }
        let mut best = None;
        for _ in 0..self.settings.pairs.max(1) {
            best = self.better_of(best, self.random_index(rng));
            best = self.better_of(best, self.random_index(rng));
            if best.is_some_and(|(_, cost): Candidate| cost.wait_us == 0) {
                break;
            }
        }
        // Every target drawn may have been tried already or be busy on probation.
        best.or_else(|| self.first_untried(rng))
    }

    fn random_index(&self, rng: &mut SmallRng) -> u32 {
        self.eligible[rng.random_range(0..self.eligible.len())]
    }

    fn best_of_all(&self) -> Option<Candidate> {
        self.eligible.iter().fold(None, |best, &index| self.better_of(best, index))
    }

    fn first_untried(&self, rng: &mut SmallRng) -> Option<Candidate> {
        let start = rng.random_range(0..self.eligible.len());
        let around = self.eligible[start..].iter().chain(&self.eligible[..start]);
        // Only a bounded share of the targets is on probation, so few steps suffice.
        around.map(|&index| self.better_of(None, index)).find(Option::is_some).flatten()
    }

    fn better_of(&self, best: Option<Candidate>, index: u32) -> Option<Candidate> {
        let stats = &self.stats[index as usize];
        let busy_probing = stats.probing && stats.outstanding > 0;
        if busy_probing || self.query.tried.iter().any(|tried| tried.index == index) {
            return best;
        }
        let cost = self.cost(stats);
        match best {
            Some((_, other)) if other.total_us <= cost.total_us => best,
            _ => Some((index, cost)),
        }
    }

    fn cost(&self, stats: &Stats) -> Cost {
        if self.query.class == Class::Watch {
            return Cost { wait_us: 0, total_us: stats.total_watchers().into() };
        }
        stats.cost(self.now, stats.domain == self.domain, self.settings)
    }
}
