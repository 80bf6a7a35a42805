use super::Bounds;
use shallotflow_core::graph::Id;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::BTreeSet;

/// What a report covers.
#[derive(Clone, Copy, Debug)]
pub struct Scope<'a> {
    /// The time of the report.
    pub now: Time,
    /// Agents that the store lists as possible holders of runs, as in
    /// [`Table::place`](crate::plan::Table::place).
    pub holders: &'a BTreeSet<Name>,
    /// Whether the owner may start tasks at present.
    pub may_start: bool,
    /// The report covers the jobs after this one; `None` for all.
    pub after: Option<Id>,
    /// The most that it may cost.
    pub bounds: Bounds,
}
