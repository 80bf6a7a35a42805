//! The recent crest of quick work.

use super::Settings;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;

/// A decaying maximum of demand in each dimension.
#[derive(Clone, Debug)]
pub struct Crest {
    settings: Settings,
    peak: Peak,
    updated: Time,
}

/// Amounts of each resource, in fractions while they decay.
#[derive(Clone, Copy, Debug, Default)]
struct Peak {
    slots: f64,
    connections: f64,
    millicores: f64,
    memory_mib: f64,
    accelerators: f64,
}

impl Crest {
    /// A crest before any demand.
    pub fn new(settings: Settings) -> Self {
        Self { settings, peak: Peak::default(), updated: Time::ZERO }
    }

    /// Keeps at least `floor_milli` thousandths of the slots from now on.
    pub fn set_floor(&mut self, floor_milli: u32) {
        self.settings.floor_milli = floor_milli;
    }

    /// Takes the demand of quick work now: what runs and what waits.
    pub fn observe(&mut self, demand: &Bundle, now: Time) {
        let left = self.left(now);
        self.peak = self.peak.scaled(left).at_least(demand);
        self.updated = self.updated.max(now);
    }

    /// The room to keep free at `now` on a worker of `capacity`.
    pub fn kept(&self, capacity: &Bundle, now: Time) -> Bundle {
        let peak = self.peak.scaled(self.left(now));
        let headroom = f64::from(self.settings.headroom_milli) / 1_000.0;
        let mut kept = peak.scaled(headroom).rounded();
        kept.slots += self.settings.spare_slots;
        kept.slots = kept.slots.max(share(capacity.slots, self.settings.floor_milli));
        self.ceiling(capacity).least(&kept)
    }

    /// The part of the peak that is left at `now`.
    fn left(&self, now: Time) -> f64 {
        let half_life = self.settings.half_life.as_secs_f64().max(f64::MIN_POSITIVE);
        (-now.since(self.updated).as_secs_f64() / half_life).exp2()
    }

    fn ceiling(&self, capacity: &Bundle) -> Ceiling {
        let part = |amount| share(amount, self.settings.ceiling_milli);
        Ceiling(Bundle {
            slots: part(capacity.slots),
            connections: part(capacity.connections),
            millicores: part(capacity.millicores),
            memory_mib: part(capacity.memory_mib),
            accelerators: part(capacity.accelerators),
        })
    }
}

/// The most that is kept in each dimension.
struct Ceiling(Bundle);

impl Ceiling {
    fn least(&self, kept: &Bundle) -> Bundle {
        // What exceeds the ceiling is taken off again.
        kept.minus(&kept.minus(&self.0))
    }
}

impl Peak {
    fn scaled(self, factor: f64) -> Self {
        Self {
            slots: self.slots * factor,
            connections: self.connections * factor,
            millicores: self.millicores * factor,
            memory_mib: self.memory_mib * factor,
            accelerators: self.accelerators * factor,
        }
    }

    fn at_least(self, demand: &Bundle) -> Self {
        Self {
            slots: self.slots.max(demand.slots.into()),
            connections: self.connections.max(demand.connections.into()),
            millicores: self.millicores.max(demand.millicores.into()),
            memory_mib: self.memory_mib.max(demand.memory_mib.into()),
            accelerators: self.accelerators.max(demand.accelerators.into()),
        }
    }

    fn rounded(self) -> Bundle {
        // The casts saturate.
        Bundle {
            slots: self.slots.round() as u32,
            connections: self.connections.round() as u32,
            millicores: self.millicores.round() as u32,
            memory_mib: self.memory_mib.round() as u32,
            accelerators: self.accelerators.round() as u32,
        }
    }
}

/// `milli` thousandths of `amount`.
fn share(amount: u32, milli: u32) -> u32 {
    let part = u64::from(amount) * u64::from(milli) / 1_000;
    u32::try_from(part).unwrap_or(u32::MAX)
}
