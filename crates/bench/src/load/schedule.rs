//! The arrival times of requests.

use crate::testbed::Surge;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::Exp;
use std::time::Duration;

/// Arrivals of a Poisson process whose rate follows a surge; deterministic for a seed.
#[derive(Debug)]
pub struct Schedule {
    rng: SmallRng,
    gap: Option<Exp<f64>>,
    surge: Surge,
    run: Duration,
    at_s: f64,
}

impl Schedule {
    /// Arrivals at `rate` per second over `run`, multiplied during the surge.
    pub fn new(rate: f64, surge: Surge, run: Duration, seed: u64) -> Self {
        // Thinning: candidates arrive at the highest rate, and `next` keeps the share that matches
        // the rate at their time.
        let highest = rate * f64::from(surge.factor.max(1));
        let gap = Exp::new(highest).ok().filter(|_| rate > 0.0);
        Self { rng: SmallRng::seed_from_u64(seed), gap, surge, run, at_s: 0.0 }
    }

    /// Arrivals at `rate` per second over `run`, without a surge.
    pub fn steady(rate: f64, run: Duration, seed: u64) -> Self {
        Self::new(rate, Surge { factor: 1, ..Surge::default() }, run, seed)
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
            let share = self.surge.multiple(at, self.run) / f64::from(self.surge.factor.max(1));
            if self.rng.random::<f64>() < share {
                return Some(at);
            }
        }
    }
}
