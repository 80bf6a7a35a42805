use super::demand::Demand;
use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Spec;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use std::collections::BTreeMap;

/// The largest observed capacity per resource, over the workers of each service.
///
/// A task that exceeds it fits no worker observed so far. A task within it may still fit none, as
/// the maxima can come from different workers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sizes {
    largest: BTreeMap<Name, Bundle>,
}

impl Sizes {
    /// Records the capacity of a worker of `service`. Returns `true` if a maximum grew.
    pub fn observe(&mut self, service: &Name, capacity: &Bundle) -> bool {
        let known = self.largest.get(service).copied().unwrap_or_default();
        let larger = known.max(capacity);
        if self.largest.contains_key(service) && larger == known {
            return false;
        }
        self.largest.insert(service.clone(), larger);
        true
    }

    /// Returns the largest observed amount of each resource over the workers of `service`; zero
    /// before a worker was observed.
    pub fn largest(&self, service: &str) -> Bundle {
        self.largest.get(service).copied().unwrap_or_default()
    }

    /// Merges the maxima of another table. Returns `true` if a maximum grew.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut grown = false;
        for (service, largest) in &other.largest {
            grown |= self.observe(service, largest);
        }
        grown
    }

    /// Returns the index of the first step of `spec` whose tasks fit no worker of `service` observed
    /// so far, or `None` if every step fits or no worker was observed.
    pub fn too_large(&self, service: &str, spec: &Spec) -> Option<usize> {
        let largest = self.largest.get(service)?;
        spec.steps.iter().position(|step| !largest.holds(&Demand::of(step).reserved()))
    }
}
