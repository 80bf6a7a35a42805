//! The service times of one kind of work.

use crate::testbed::Kind;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::LogNormal;
use std::time::Duration;

const PER_MILLE: u32 = 1_000;
const SHORTEST: Duration = Duration::from_millis(1);

/// Service times of one kind, log-normal with stragglers; deterministic for a seed.
#[derive(Debug)]
pub struct Service {
    rng: SmallRng,
    factor: Option<LogNormal<f64>>,
    median: Duration,
    straggler_share: u32,
    straggler_factor: u32,
}

impl Service {
    /// Service times of `kind`.
    pub fn new(kind: &Kind, seed: u64) -> Self {
        let sigma = f64::from(kind.spread) / f64::from(PER_MILLE);
        Self {
            rng: SmallRng::seed_from_u64(seed),
            factor: LogNormal::new(0.0, sigma).ok(),
            median: kind.median,
            straggler_share: kind.straggler_share,
            straggler_factor: kind.straggler_factor,
        }
    }

    /// Draws the next service time, in whole milliseconds.
    pub fn draw(&mut self) -> Duration {
        let factor = self.factor.map_or(1.0, |factor| self.rng.sample(factor));
        let straggles = self.rng.random_ratio(self.straggler_share.min(PER_MILLE), PER_MILLE);
        let factor = if straggles { factor * f64::from(self.straggler_factor) } else { factor };
        let millis = (self.median.as_secs_f64() * 1e3 * factor).round() as u64;
        Duration::from_millis(millis).max(SHORTEST)
    }
}
