use shallotflow_core::graph::Task;
use shallotflow_core::name::Name;
use shallotflow_core::time::Time;
use std::collections::BTreeMap;

/// What a worker measured of its runs at one time.
#[derive(Clone, Debug)]
pub(super) struct Measured {
    /// When it was listed.
    pub(super) at: Time,
    /// Image of each serving task, and its tail latency as a share of its target.
    pub(super) serving: BTreeMap<Task, (Name, f64)>,
    /// Images of best-effort tasks, each with the share of the worker's processors that it used.
    pub(super) neighbors: Vec<(Name, f64)>,
}
