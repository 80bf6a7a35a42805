//! Recent peak demand of quick work.

use super::Settings;
use super::amounts::Amounts;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;
use std::time::Duration;

/// A decaying maximum of the averaged demand in each dimension.
#[derive(Clone, Debug)]
pub struct Peak {
    settings: Settings,
    /// The demand since the last update.
    demand: Amounts,
    mean: Amounts,
    peak: Amounts,
    updated: Time,
}

impl Peak {
    /// Creates a peak without any demand.
    pub fn new(settings: Settings) -> Self {
        let zero = Amounts::default();
        Self { settings, demand: zero, mean: zero, peak: zero, updated: Time::ZERO }
    }

    /// Sets the minimum reserve, thousandths of the slots.
    pub fn set_minimum(&mut self, minimum_milli: u32) {
        self.settings.minimum_milli = minimum_milli;
    }

    /// Records the demand of running and waiting quick work from `now` on.
    pub fn observe(&mut self, demand: &Bundle, now: Time) {
        let elapsed = now.since(self.updated);
        let weight = 1.0 - decay(elapsed, self.settings.window);
        self.mean = self.mean.interpolate(self.demand, weight);
        self.peak = self.peak.scaled(self.remaining(now)).max(self.mean);
        self.demand = demand.into();
        self.updated = self.updated.max(now);
    }

    /// Returns the resources to reserve at `now` on a worker of `capacity`.
    pub fn reserve(&self, capacity: &Bundle, now: Time) -> Bundle {
        let peak = self.peak.scaled(self.remaining(now));
        let mut reserve = peak.scaled(self.headroom(peak.slots)).rounded();
        reserve.slots = reserve.slots.max(fraction(capacity.slots, self.settings.minimum_milli));
        self.capped(capacity, &reserve)
    }

    /// Returns the factor that adds the configured standard deviations of a Poisson process with
    /// this `mean`.
    fn headroom(&self, mean: f64) -> f64 {
        if mean <= 0.0 {
            return 1.0;
        }
        1.0 + f64::from(self.settings.deviations_milli) / 1_000.0 / mean.sqrt()
    }

    /// Returns the fraction of the peak that remains at `now`.
    fn remaining(&self, now: Time) -> f64 {
        let half_life = self.settings.half_life.as_secs_f64().max(f64::MIN_POSITIVE);
        (-now.since(self.updated).as_secs_f64() / half_life).exp2()
    }

    /// Limits `reserve` to the configured maximum.
    fn capped(&self, capacity: &Bundle, reserve: &Bundle) -> Bundle {
        let part = |amount| fraction(amount, self.settings.maximum_milli);
        let maximum = Bundle {
            slots: part(capacity.slots),
            connections: part(capacity.connections),
            millicores: part(capacity.millicores),
            memory_mib: part(capacity.memory_mib),
            accelerators: part(capacity.accelerators),
        };
        reserve.minus(&reserve.minus(&maximum))
    }
}

/// Returns the fraction that remains after `elapsed` of exponential decay with the time constant
/// `constant`.
fn decay(elapsed: Duration, constant: Duration) -> f64 {
    (-elapsed.as_secs_f64() / constant.as_secs_f64().max(f64::MIN_POSITIVE)).exp()
}

/// Returns `milli` thousandths of `amount`.
fn fraction(amount: u32, milli: u32) -> u32 {
    let part = u64::from(amount) * u64::from(milli) / 1_000;
    u32::try_from(part).unwrap_or(u32::MAX)
}
