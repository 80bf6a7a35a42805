use super::demand::Demand;
use serde::{Deserialize, Serialize};
use shallotflow_core::graph::Spec;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;
use std::collections::BTreeMap;

/// The most of each resource that a worker of each service was seen to have.
///
/// What exceeds it fits no worker that was ever seen. What does not may fit none all the same, when
/// no single worker has the most of everything.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sizes {
    largest: BTreeMap<Name, Bundle>,
}

impl Sizes {
    /// Notes a worker of `service`; `true` when it is larger than what was seen.
    pub fn observe(&mut self, service: &Name, capacity: &Bundle) -> bool {
        let known = self.largest.get(service).copied().unwrap_or_default();
        let larger = known.max(capacity);
        if self.largest.contains_key(service) && larger == known {
            return false;
        }
        self.largest.insert(service.clone(), larger);
        true
    }

    /// Notes what another table has seen; `true` when that is more.
    pub fn merge(&mut self, other: &Self) -> bool {
        let mut more = false;
        for (service, largest) in &other.largest {
            more |= self.observe(service, largest);
        }
        more
    }

    /// The first step of `spec` whose tasks fit no worker of `service` that was ever seen; nothing
    /// while none was.
    pub fn too_large(&self, service: &str, spec: &Spec) -> Option<usize> {
        let largest = self.largest.get(service)?;
        spec.steps.iter().position(|step| !largest.holds(&Demand::of(step).reserved()))
    }
}
