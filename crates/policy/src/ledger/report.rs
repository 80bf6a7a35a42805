//! Reports of agents about their workers.

use super::Status;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;

/// A report of an agent; each agent has at most one in flight per entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The name of the worker.
    pub worker: Name,
    /// The incarnation of the agent; increases with each restart.
    pub incarnation: u64,
    /// The sequence number of the report within the incarnation.
    pub sequence: u64,
    /// Identifies the run of the worker process; differs after each restart.
    pub boot: u64,
    /// The kinds of work that the worker serves; empty for all kinds.
    pub kinds: Vec<Name>,
    /// The total resources of the worker.
    pub capacity: Bundle,
    /// The resources that are free for batch work.
    pub room: Bundle,
    /// Whether the worker is leaving and accepts no more work.
    pub leaving: bool,
    /// All tasks that the agent holds and that are not settled yet.
    pub tasks: Vec<Status>,
    /// The highest epoch of each ledger that the agent has seen.
    pub epochs: Vec<(u32, u64)>,
}

impl Report {
    /// Returns the highest epoch of `ledger` that the agent has seen, 0 if none.
    pub fn epoch(&self, ledger: u32) -> u64 {
        let seen = self.epochs.iter().find(|(number, _)| *number == ledger);
        seen.map_or(0, |(_, epoch)| *epoch)
    }
}
