//! Learned ratios of one kind.

use super::Settings;

/// Upper limit of the ratio of a measured to a declared value.
const MAX_RATIO: f64 = 1_000.0;

/// Ratios of measured to declared values of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Kind {
    run: Mean,
    memory: DecayingMax,
    millicores: DecayingMax,
}

/// Exponentially weighted moving mean.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Mean {
    ratio: f64,
    samples: u32,
}

/// Maximum that decays slowly.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct DecayingMax {
    ratio: f64,
    samples: u32,
}

impl Kind {
    pub(super) fn learn_run(&mut self, measured: f64, declared: f64, settings: &Settings) {
        self.run.add(ratio(measured, declared), settings);
    }

    pub(super) fn learn_memory(&mut self, measured: f64, declared: f64, settings: &Settings) {
        self.memory.add(ratio(measured, declared), settings);
    }

    pub(super) fn learn_millicores(&mut self, measured: f64, declared: f64, settings: &Settings) {
        self.millicores.add(ratio(measured, declared), settings);
    }

    pub(super) fn run_ratio(&self, settings: &Settings) -> f64 {
        if self.run.samples < settings.samples { 1.0 } else { self.run.ratio }
    }

    pub(super) fn memory_ratio(&self, settings: &Settings) -> f64 {
        self.memory.ratio_with_margin(settings)
    }

    pub(super) fn millicores_ratio(&self, settings: &Settings) -> f64 {
        self.millicores.ratio_with_margin(settings)
    }
}

impl Mean {
    fn add(&mut self, ratio: f64, settings: &Settings) {
        self.samples = self.samples.saturating_add(1);
        // The first measurements have the weight that they have in an arithmetic mean.
        let rate = f64::from(settings.rate_milli) / 1_000.0;
        let weight = rate.max(1.0 / f64::from(self.samples));
        self.ratio += (ratio - self.ratio) * weight;
    }
}

impl DecayingMax {
    fn add(&mut self, ratio: f64, settings: &Settings) {
        self.samples = self.samples.saturating_add(1);
        let kept = 1.0 - f64::from(settings.decay_milli) / 1_000.0;
        self.ratio = (self.ratio * kept).max(ratio);
    }

    /// Returns the ratio with its margin; it may exceed 1 at once, but is below 1 only after enough
    /// samples.
    fn ratio_with_margin(&self, settings: &Settings) -> f64 {
        let reserved = self.ratio * f64::from(settings.margin_milli) / 1_000.0;
        if self.samples < settings.samples { reserved.max(1.0) } else { reserved }
    }
}

fn ratio(measured: f64, declared: f64) -> f64 {
    (measured / declared.max(1.0)).clamp(0.0, MAX_RATIO)
}
