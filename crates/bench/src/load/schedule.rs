//! When requests are due.

use crate::floor::Crest;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::Exp;
use std::time::Duration;

/// The due times of a Poisson process whose rate follows a crest; the same for the same seed.
#[derive(Debug)]
pub struct Schedule {
    rng: SmallRng,
    gap: Option<Exp<f64>>,
    crest: Crest,
    run: Duration,
    at_s: f64,
}

impl Schedule {
    /// Arrivals at `rate` a second over `run`, multiplied within the crest.
    pub fn new(rate: f64, crest: Crest, run: Duration, seed: u64) -> Self {
        // Candidates come at the highest rate; those above the rate of their time are left out.
        let highest = rate * f64::from(crest.factor.max(1));
        let gap = Exp::new(highest).ok().filter(|_| rate > 0.0);
        Self { rng: SmallRng::seed_from_u64(seed), gap, crest, run, at_s: 0.0 }
    }

    /// Arrivals at `rate` a second over `run`, without a crest.
    pub fn steady(rate: f64, run: Duration, seed: u64) -> Self {
        Self::new(rate, Crest { factor: 1, ..Crest::default() }, run, seed)
    }
}

impl Iterator for Schedule {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        let gap = self.gap?;
        loop {
            self.at_s += self.rng.sample(gap);
            let at = Duration::from_secs_f64(self.at_s);
            if at >= self.run {
                return None;
            }
            let share = self.crest.multiple(at, self.run) / f64::from(self.crest.factor.max(1));
            if self.rng.random::<f64>() < share {
                return Some(at);
            }
        }
    }
}
