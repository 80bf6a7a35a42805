//! Fractional amounts of resources.

use shallotflow_core::resources::Bundle;

/// A bundle with fractional amounts, for averaging and decay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Amounts {
    pub(super) slots: f64,
    pub(super) connections: f64,
    pub(super) millicores: f64,
    pub(super) memory_mib: f64,
    pub(super) accelerators: f64,
}

impl Amounts {
    /// Interpolates linearly from the amounts to `other` by `weight`.
    pub(super) fn interpolate(self, other: Self, weight: f64) -> Self {
        self.zip(other, |own, other| own + (other - own) * weight)
    }

    /// Returns the maximum in each dimension.
    pub(super) fn max(self, other: Self) -> Self {
        self.zip(other, f64::max)
    }

    /// Returns all amounts multiplied by `factor`.
    pub(super) fn scaled(self, factor: f64) -> Self {
        self.zip(self, |own, _| own * factor)
    }

    /// Rounds up to whole amounts, ignoring excesses below 0.001 that come from rounding errors.
    pub(super) fn rounded(self) -> Bundle {
        // The casts saturate.
        let whole = |amount: f64| (amount - 0.001).ceil() as u32;
        Bundle {
            slots: whole(self.slots),
            connections: whole(self.connections),
            millicores: whole(self.millicores),
            memory_mib: whole(self.memory_mib),
            accelerators: whole(self.accelerators),
        }
    }

    fn zip(self, other: Self, op: impl Fn(f64, f64) -> f64) -> Self {
        Self {
            slots: op(self.slots, other.slots),
            connections: op(self.connections, other.connections),
            millicores: op(self.millicores, other.millicores),
            memory_mib: op(self.memory_mib, other.memory_mib),
            accelerators: op(self.accelerators, other.accelerators),
        }
    }
}

impl From<&Bundle> for Amounts {
    fn from(bundle: &Bundle) -> Self {
        Self {
            slots: bundle.slots.into(),
            connections: bundle.connections.into(),
            millicores: bundle.millicores.into(),
            memory_mib: bundle.memory_mib.into(),
            accelerators: bundle.accelerators.into(),
        }
    }
}
