use super::Group;
use serde::Serialize;
use shallotflow_core::graph::Id;
use std::collections::BTreeSet;

/// The tasks of open steps that do not run, of the jobs in a range.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Report {
    /// The tasks by step and reason.
    pub groups: Vec<Group>,
    /// The report covers the jobs after this one; `None` from the first on.
    pub after: Option<Id>,
    /// The last job that it covers; `None` if it covers all that follow.
    pub last: Option<Id>,
    /// Jobs of which some steps are left out.
    pub partial: BTreeSet<Id>,
    /// Number of tasks that are left out.
    pub omitted: u64,
    /// Number of runs that occupy workers, although they are the current run of no task.
    pub remnants: usize,
}

impl Report {
    /// Returns whether the report has all that waits in the job `id`.
    pub fn covers(&self, id: Id) -> bool {
        self.after.is_none_or(|after| id > after)
            && self.last.is_none_or(|last| id <= last)
            && !self.partial.contains(&id)
    }
}
