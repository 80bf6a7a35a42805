use foldhash::HashMap;
use shallotflow_core::graph::Id;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use shallotflow_policy::plan::Table;

/// The table of jobs, while this entry owns it.
pub(super) struct Reign {
    pub(super) table: Table,
    /// The revision of the owner's key; a claim changes it.
    pub(super) revision: i64,
    /// The revisions of the progress of jobs.
    pub(super) revisions: HashMap<Id, i64>,
    /// Agents that the store lists for sure as possible holders of runs.
    pub(super) holders: Vec<Name>,
    /// The revision of that list.
    pub(super) holders_revision: i64,
    /// When what was learned of images is kept next.
    pub(super) learned_due: Time,
}
