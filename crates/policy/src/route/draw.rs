//! One choice among the targets of a kind.

use super::row::{Cost, Row};
use super::{Query, Settings};
use rand::Rng;
use rand::rngs::SmallRng;
use shallotflow_core::class::Class;
use shallotflow_core::time::Time;

/// A target with its cost.
pub(super) type Candidate = (u32, Cost);

/// One choice among the targets of a kind.
pub(super) struct Draw<'a> {
    pub(super) settings: &'a Settings,
    pub(super) rows: &'a [Row],
    /// Indices of the targets that may be chosen.
    pub(super) eligible: &'a [u32],
    /// The failure domain of the entry.
    pub(super) domain: u32,
    pub(super) query: &'a Query<'a>,
    pub(super) now: Time,
}

impl Draw<'_> {
    /// Draws pairs until one target would not let the request wait, and gives the best target.
    pub(super) fn run(&self, rng: &mut SmallRng) -> Option<Candidate> {
        if self.eligible.len() <= self.query.tried.len() + 1 {
            return self.best_of_all();
        }
        let mut best = None;
        for _ in 0..self.settings.pairs.max(1) {
            best = self.better(best, self.any(rng));
            best = self.better(best, self.any(rng));
            if best.is_some_and(|(_, cost): Candidate| cost.wait_us == 0) {
                break;
            }
        }
        // Every draw may have hit a target that was tried or that is proving itself.
        best.or_else(|| self.first_untried(rng))
    }

    fn any(&self, rng: &mut SmallRng) -> u32 {
        self.eligible[rng.random_range(0..self.eligible.len())]
    }

    fn best_of_all(&self) -> Option<Candidate> {
        self.eligible.iter().fold(None, |best, &index| self.better(best, index))
    }

    fn first_untried(&self, rng: &mut SmallRng) -> Option<Candidate> {
        let start = rng.random_range(0..self.eligible.len());
        let around = self.eligible[start..].iter().chain(&self.eligible[..start]);
        // Targets on probation are bounded by a share, so few steps suffice.
        around.map(|&index| self.better(None, index)).find(Option::is_some).flatten()
    }

    fn better(&self, best: Option<Candidate>, index: u32) -> Option<Candidate> {
        let row = &self.rows[index as usize];
        let busy_probing = row.probing && row.outstanding > 0;
        if busy_probing || self.query.tried.iter().any(|tried| tried.index == index) {
            return best;
        }
        let cost = self.cost(row);
        match best {
            Some((_, other)) if other.total_us <= cost.total_us => best,
            _ => Some((index, cost)),
        }
    }

    fn cost(&self, row: &Row) -> Cost {
        if self.query.class == Class::Watch {
            return Cost { wait_us: 0, total_us: row.held().into() };
        }
        row.cost(self.now, row.domain == self.domain, self.settings)
    }
}
