//! The recent peak of quick work.

use super::Settings;
use super::amounts::Amounts;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use std::time::Duration;

/// A decaying maximum of the averaged demand in each dimension.
#[derive(Clone, Debug)]
pub struct Peak {
    settings: Settings,
    /// What was in demand since the last update.
    demand: Amounts,
    mean: Amounts,
    peak: Amounts,
    updated: Time,
}

impl Peak {
    /// A peak before any demand.
    pub fn new(settings: Settings) -> Self {
        let none = Amounts::default();
        Self { settings, demand: none, mean: none, peak: none, updated: Time::ZERO }
    }

    /// Keeps at least `floor_milli` thousandths of the slots from now on.
    pub fn set_minimum(&mut self, minimum_milli: u32) {
        self.settings.floor_milli = minimum_milli;
    }

    /// Takes the demand of quick work from now on: what runs and what waits.
    pub fn observe(&mut self, demand: &Bundle, now: Time) {
        let passed = now.since(self.updated);
        let followed = 1.0 - decay(passed, self.settings.window);
        self.mean = self.mean.toward(self.demand, followed);
        self.peak = self.peak.scaled(self.left(now)).max(self.mean);
        self.demand = demand.into();
        self.updated = self.updated.max(now);
    }

    /// The room to keep free at `now` on a worker of `capacity`.
    pub fn reserve(&self, capacity: &Bundle, now: Time) -> Bundle {
        let peak = self.peak.scaled(self.left(now));
        let mut kept = peak.scaled(self.headroom(peak.slots)).rounded();
        kept.slots = kept.slots.max(share(capacity.slots, self.settings.floor_milli));
        self.least(capacity, &kept)
    }

    /// The factor that adds the deviations of a Poisson process of this mean.
    fn headroom(&self, mean: f64) -> f64 {
        if mean <= 0.0 {
            return 1.0;
        }
        1.0 + f64::from(self.settings.deviations_milli) / 1_000.0 / mean.sqrt()
    }

    /// The part of the peak that is left at `now`.
    fn left(&self, now: Time) -> f64 {
        let half_life = self.settings.half_life.as_secs_f64().max(f64::MIN_POSITIVE);
        (-now.since(self.updated).as_secs_f64() / half_life).exp2()
    }

    /// `kept`, but no more than the ceiling.
    fn least(&self, capacity: &Bundle, kept: &Bundle) -> Bundle {
        let part = |amount| share(amount, self.settings.ceiling_milli);
        let ceiling = Bundle {
            slots: part(capacity.slots),
            connections: part(capacity.connections),
            millicores: part(capacity.millicores),
            memory_mib: part(capacity.memory_mib),
            accelerators: part(capacity.accelerators),
        };
        kept.minus(&kept.minus(&ceiling))
    }
}

/// What is left after `passed` of a quantity that decays with the time constant `constant`.
fn decay(passed: Duration, constant: Duration) -> f64 {
    (-passed.as_secs_f64() / constant.as_secs_f64().max(f64::MIN_POSITIVE)).exp()
}

/// `milli` thousandths of `amount`.
fn share(amount: u32, milli: u32) -> u32 {
    let part = u64::from(amount) * u64::from(milli) / 1_000;
    u32::try_from(part).unwrap_or(u32::MAX)
}
