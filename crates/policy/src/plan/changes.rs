use shallotflow_core::graph::Id;
use shallotflow_core::time::Time;
use std::collections::{BTreeMap, BTreeSet};

/// Jobs with unrecorded changes, ordered by the time at which these are due to be recorded.
#[derive(Clone, Debug, Default)]
pub(super) struct Changes {
    due: BTreeMap<Id, Time>,
    order: BTreeSet<(Time, Id)>,
}

impl Changes {
    /// Adds a job whose change is due at `due`, or at the earlier time that is already set.
    pub(super) fn add(&mut self, id: Id, due: Time) {
        let known = self.due.get(&id).copied().unwrap_or(Time::NEVER);
        if due < known {
            self.order.remove(&(known, id));
            self.order.insert((due, id));
            self.due.insert(id, due);
        }
    }

    /// Removes a job whose changes are recorded.
    pub(super) fn remove(&mut self, id: Id) {
        if let Some(due) = self.due.remove(&id) {
            self.order.remove(&(due, id));
        }
    }

    /// Returns when the next change is due.
    pub(super) fn next(&self) -> Time {
        self.order.first().map_or(Time::NEVER, |(due, _)| *due)
    }

    /// Returns the jobs in the order in which they are due.
    pub(super) fn iter(&self) -> impl Iterator<Item = Id> {
        self.order.iter().map(|(_, id)| *id)
    }
}
