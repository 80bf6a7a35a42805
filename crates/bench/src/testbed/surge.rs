//! A surge of load within a run.

use serde::{Deserialize, Serialize};
use std::time::Duration;

const PER_MILLE: u32 = 1_000;

/// A linear rise of the load to a multiple of its base rate, with an immediate fall at the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Surge {
    /// Its start, in thousandths of the run.
    pub start: u32,
    /// Duration of the linear rise.
    pub rise: Duration,
    /// Its length including the rise, in thousandths of the run.
    pub length: u32,
    /// The load at the peak, as a multiple of the base rate.
    pub factor: u32,
}

impl Default for Surge {
    fn default() -> Self {
        Self { start: 500, rise: Duration::from_secs(1), length: 150, factor: 1 }
    }
}

impl Surge {
    /// Returns when the surge of a run of length `run` begins and ends.
    pub fn window(&self, run: Duration) -> (Duration, Duration) {
        let begin = run * self.start / PER_MILLE;
        (begin, begin + run * self.length / PER_MILLE)
    }

    /// Returns the load at time `at` as a multiple of the base rate.
    pub fn multiple(&self, at: Duration, run: Duration) -> f64 {
        let (begin, end) = self.window(run);
        if at < begin || at >= end {
            return 1.0;
        }
        let risen = (at - begin).as_secs_f64() / self.rise.as_secs_f64().max(f64::EPSILON);
        1.0 + f64::from(self.factor.saturating_sub(1)) * risen.min(1.0)
    }
}
