use foldhash::HashMap;
use shallotflow_core::graph::Id;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use shallotflow_policy::plan::waits::Journal;
use shallotflow_policy::plan::{EvacuationRequests, Table};
use std::collections::BTreeSet;

/// The table of jobs, while this entry owns it.
pub(super) struct Ownership {
    pub(super) table: Table,
    /// The revision of the owner's key, which each claim changes.
    pub(super) revision: i64,
    /// The revision of each job's progress record.
    pub(super) progress_revisions: HashMap<Id, i64>,
    /// Agents that the store certainly lists as possible holders of runs.
    pub(super) holders: BTreeSet<Name>,
    /// The version of the table's list that `holders` equals; 0 if it differs.
    pub(super) holders_version: u64,
    /// The revision of that list.
    pub(super) holders_revision: i64,
    /// When the learned disturbance rates are stored next.
    pub(super) rates_due: Time,
    /// The operators' requests to evacuate failure domains.
    pub(super) evacuation_requests: EvacuationRequests,
    /// The waits that were reported and logged.
    pub(super) waits: Journal,
}
