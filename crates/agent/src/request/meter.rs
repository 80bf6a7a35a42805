//! Mean service time of quick work.

use std::time::Duration;

/// Weight of a new sample: one over this number.
const SAMPLES: u32 = 16;

/// An exponentially weighted mean.
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
        self.mean = (self.mean * (SAMPLES - 1) + service) / SAMPLES;
    }

    /// The mean service time, zero before the first sample.
    pub fn service(&self) -> Duration {
        self.mean
    }
}
