//! What kinds of workers there are.

use super::worker::Worker;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;

/// A capacity with the kinds served, shared by some workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Shape {
    pub(super) kinds: Vec<Name>,
    pub(super) capacity: Bundle,
}

impl Shape {
    pub(super) fn of(worker: &Worker) -> Self {
        Self { kinds: worker.kinds.clone(), capacity: worker.capacity }
    }

    /// Whether an empty worker of this shape could hold such a task.
    pub(super) fn could_hold(&self, kind: &Name, need: &Bundle) -> bool {
        let serves = self.kinds.is_empty() || self.kinds.contains(kind);
        serves && self.capacity.holds(need)
    }
}
