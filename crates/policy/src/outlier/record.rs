//! What is kept of the results of one target.

use super::Settings;
use super::table::{Cause, Sample};
use shallotflow_core::time::Time;

const CERTAIN_MILLI: u32 = 1_000;
/// Weight of one new result in the moving means, as a power of two: 1/16.
const MEAN_SHIFT: u32 = 4;
/// A latency is counted as at most this many times that of its kind.
const LARGEST_RATIO_MILLI: u64 = 100_000;

/// Whether a target is set aside.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// It gets requests like any other.
    #[default]
    In,
    /// It should be set aside as soon as the share allows it.
    Suspect(Cause),
    /// It gets none until the given time.
    Out(Time),
    /// It gets one at a time and has answered so many well.
    Probing(u32),
}

/// The results of one target.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Record {
    pub(super) generation: u32,
    pub(super) phase: Phase,
    /// How often it was set aside of late.
    pub(super) repetitions: u32,
    /// When it was last set aside.
    pub(super) ejected: Time,
    pub(super) consecutive: u32,
    pub(super) samples: u32,
    pub(super) failure_milli: u32,
    pub(super) ratio_milli: u32,
}

impl Record {
    /// Forgets the results, but not the repetitions.
    pub(super) fn clear(&mut self) {
        self.consecutive = 0;
        self.samples = 0;
        self.failure_milli = 0;
        self.ratio_milli = 0;
    }

    /// Takes a result.
    pub(super) fn take(&mut self, sample: &Sample) {
        self.samples = self.samples.saturating_add(1);
        if sample.failed {
            self.consecutive += 1;
            self.failure_milli = mean(self.failure_milli, CERTAIN_MILLI);
            return;
        }
        self.consecutive = 0;
        self.failure_milli = mean(self.failure_milli, 0);
        self.ratio_milli = mean(self.ratio_milli, ratio_milli(sample));
    }

    /// Why the target should be set aside, if it should.
    pub(super) fn cause(&self, settings: &Settings) -> Option<Cause> {
        if self.consecutive >= settings.consecutive {
            return Some(Cause::Consecutive);
        }
        if self.samples < settings.least_samples {
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
    let ratio = u64::try_from(ratio).unwrap_or(u64::MAX).min(LARGEST_RATIO_MILLI);
    u32::try_from(ratio).unwrap_or(u32::MAX)
}

fn mean(old: u32, sample: u32) -> u32 {
    old - (old >> MEAN_SHIFT) + (sample >> MEAN_SHIFT)
}
