//! Mean service time of quick requests.

use std::time::Duration;

/// A new sample has the weight `1 / MEAN_SAMPLES`.
const MEAN_SAMPLES: u32 = 16;

/// An exponentially weighted moving average of service times.
#[derive(Clone, Copy, Debug, Default)]
pub struct Meter {
    mean: Duration,
}

impl Meter {
    /// Adds one service time.
    pub fn add(&mut self, service: Duration) {
        if self.mean.is_zero() {
            self.mean = service;
            return;
        }
        self.mean = (self.mean * (MEAN_SAMPLES - 1) + service) / MEAN_SAMPLES;
    }

    /// The mean service time, zero before the first sample.
    pub fn service(&self) -> Duration {
        self.mean
    }
}
