//! What was measured of one kind.

use super::Settings;

/// The largest ratio of a measurement to its declaration.
const MAX_RATIO: f64 = 1_000.0;

/// Ratios of measured to declared values.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Kind {
    run: Mean,
    memory: Largest,
    millicores: Largest,
}

/// An exponentially weighted mean.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Mean {
    ratio: f64,
    samples: u32,
}

/// A slowly falling maximum.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Largest {
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

    pub(super) fn run(&self, settings: &Settings) -> f64 {
        if self.run.samples < settings.samples { 1.0 } else { self.run.ratio }
    }

    pub(super) fn memory(&self, settings: &Settings) -> f64 {
        self.memory.get(settings)
    }

    pub(super) fn millicores(&self, settings: &Settings) -> f64 {
        self.millicores.get(settings)
    }
}

impl Mean {
    fn add(&mut self, ratio: f64, settings: &Settings) {
        self.samples = self.samples.saturating_add(1);
        // The first measurements weigh as much as their plain mean would give them.
        let rate = f64::from(settings.rate_milli) / 1_000.0;
        let weight = rate.max(1.0 / f64::from(self.samples));
        self.ratio += (ratio - self.ratio) * weight;
    }
}

impl Largest {
    fn add(&mut self, ratio: f64, settings: &Settings) {
        self.samples = self.samples.saturating_add(1);
        let kept = 1.0 - f64::from(settings.fall_milli) / 1_000.0;
        self.ratio = (self.ratio * kept).max(ratio);
    }

    /// The ratio with its margin; larger than declared at once, smaller only after enough samples.
    fn get(&self, settings: &Settings) -> f64 {
        let wanted = self.ratio * f64::from(settings.margin_milli) / 1_000.0;
        if self.samples < settings.samples { wanted.max(1.0) } else { wanted }
    }
}

fn ratio(measured: f64, declared: f64) -> f64 {
    (measured / declared.max(1.0)).clamp(0.0, MAX_RATIO)
}
