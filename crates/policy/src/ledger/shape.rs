//! Distinct worker shapes, for finding jobs that fit nowhere.

use super::worker::Worker;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;

/// The capacity and the kinds of work that one or more workers have in common.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Shape {
    pub(super) kinds: Vec<Name>,
    pub(super) capacity: Bundle,
}

impl Shape {
    pub(super) fn of(worker: &Worker) -> Self {
        Self { kinds: worker.kinds.clone(), capacity: worker.capacity }
    }

    /// Whether such a task would fit on an idle worker of this shape.
    pub(super) fn could_hold(&self, kind: &Name, need: &Bundle) -> bool {
        let serves = self.kinds.is_empty() || self.kinds.contains(kind);
        serves && self.capacity.holds(need)
    }
}
