//! Statistics and phase of one target.

use super::Settings;
use super::table::{Cause, Sample};
use shallotflow_core::time::Time;

const FAILED_SAMPLE_MILLI: u32 = 1_000;
/// Weight of one new result in the moving means, as a power of two: 1/16.
const MEAN_SHIFT: u32 = 4;
/// Upper limit of the ratio of a latency to the expected one, thousandths.
const MAX_RATIO_MILLI: u64 = 100_000;

/// Ejection state of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// It receives requests.
    #[default]
    Active,
    /// It is to be ejected as soon as the share of ejected targets allows it.
    Suspect(Cause),
    /// It receives no requests until the given time.
    Ejected(Time),
    /// It is on probation and has had this many successes.
    Probing(u32),
}

/// Moving statistics of the results of one target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Record {
    pub(super) generation: u32,
    pub(super) phase: Phase,
    /// Number of recent ejections; each one doubles the next ejection time.
    pub(super) ejections: u32,
    /// Time of the last ejection.
    pub(super) last_ejected: Time,
    pub(super) consecutive_failures: u32,
    pub(super) samples: u32,
    pub(super) failure_milli: u32,
    pub(super) ratio_milli: u32,
}

impl Record {
    /// Clears the statistics but keeps the number of ejections.
    pub(super) fn clear(&mut self) {
        self.consecutive_failures = 0;
        self.samples = 0;
        self.failure_milli = 0;
        self.ratio_milli = 0;
    }

    /// Adds the result of a request.
    pub(super) fn add(&mut self, sample: &Sample) {
        self.samples = self.samples.saturating_add(1);
        if sample.failed {
            self.consecutive_failures += 1;
            self.failure_milli = mean(self.failure_milli, FAILED_SAMPLE_MILLI);
            return;
        }
        self.consecutive_failures = 0;
        self.failure_milli = mean(self.failure_milli, 0);
        self.ratio_milli = mean(self.ratio_milli, ratio_milli(sample));
    }

    /// Returns the reason to eject the target, if there is one.
    pub(super) fn ejection_cause(&self, settings: &Settings) -> Option<Cause> {
        if self.consecutive_failures >= settings.consecutive {
            return Some(Cause::Consecutive);
        }
        if self.samples < settings.min_samples {
            return None;
        }
        if self.failure_milli > settings.failure_milli {
            return Some(Cause::FailureRate);
        }
        (self.ratio_milli > settings.slow_milli).then_some(Cause::Slow)
    }
}

fn ratio_milli(sample: &Sample) -> u32 {
    let expected = sample.expected.as_micros().max(1);
    let ratio = sample.latency.as_micros().saturating_mul(1_000) / expected;
    let ratio = u64::try_from(ratio).unwrap_or(u64::MAX).min(MAX_RATIO_MILLI);
    u32::try_from(ratio).unwrap_or(u32::MAX)
}

fn mean(old: u32, sample: u32) -> u32 {
    old - (old >> MEAN_SHIFT) + (sample >> MEAN_SHIFT)
}
