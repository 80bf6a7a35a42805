//! What a task needs and what a worker can hold.

use serde::{Deserialize, Serialize};

/// Amounts of each resource, as a need or as a capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Bundle {
    /// Places for running tasks.
    pub slots: u32,
    /// Open connections.
    pub connections: u32,
    /// Thousandths of a processor.
    pub millicores: u32,
    /// Memory in mebibytes.
    pub memory_mib: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

impl Bundle {
    /// Whether `need` fits in `self` in every dimension.
    pub fn holds(&self, need: &Self) -> bool {
        self.slots >= need.slots
            && self.connections >= need.connections
            && self.millicores >= need.millicores
            && self.memory_mib >= need.memory_mib
            && self.accelerators >= need.accelerators
    }

    /// The sum in each dimension; saturates at the largest value.
    pub fn plus(&self, other: &Self) -> Self {
        self.zip(other, u32::saturating_add)
    }

    /// The difference in each dimension; saturates at zero.
    pub fn minus(&self, other: &Self) -> Self {
        self.zip(other, u32::saturating_sub)
    }

    /// The larger value in each dimension.
    pub fn max(&self, other: &Self) -> Self {
        self.zip(other, Ord::max)
    }

    /// Whether nothing is asked for in any dimension.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    fn zip(&self, other: &Self, op: impl Fn(u32, u32) -> u32) -> Self {
        Self {
            slots: op(self.slots, other.slots),
            connections: op(self.connections, other.connections),
            millicores: op(self.millicores, other.millicores),
            memory_mib: op(self.memory_mib, other.memory_mib),
            accelerators: op(self.accelerators, other.accelerators),
        }
    }
}
