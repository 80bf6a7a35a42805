//! The swing of the quick load within a run.

use serde::{Deserialize, Serialize};
use std::time::Duration;

const PER_MILLE: u32 = 1_000;

/// A rise of the quick load to a multiple of its base rate, and back at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Surge {
    /// When it starts, in thousandths of the run.
    pub start: u32,
    /// How long the load takes to rise.
    pub rise: Duration,
    /// How long it stays, in thousandths of the run, the rise included.
    pub length: u32,
    /// The load at the surge as a multiple of the base rate.
    pub factor: u32,
}

impl Default for Surge {
    fn default() -> Self {
        Self { start: 500, rise: Duration::from_secs(1), length: 150, factor: 1 }
    }
}

impl Surge {
    /// When the surge of a run of length `run` begins and ends.
    pub fn window(&self, run: Duration) -> (Duration, Duration) {
        let begin = run * self.start / PER_MILLE;
        (begin, begin + run * self.length / PER_MILLE)
    }

    /// The load at `at` as a multiple of the base rate.
    pub fn multiple(&self, at: Duration, run: Duration) -> f64 {
        let (begin, end) = self.window(run);
        if at < begin || at >= end {
            return 1.0;
        }
        let risen = (at - begin).as_secs_f64() / self.rise.as_secs_f64().max(f64::EPSILON);
        1.0 + f64::from(self.factor.saturating_sub(1)) * risen.min(1.0)
    }
}
