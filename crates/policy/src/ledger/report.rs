//! What an agent says of its worker.

use super::Status;
use shallotflow_core::name::Name;
use shallotflow_core::resources::Bundle;

/// A report; an agent has at most one outstanding at each entry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The worker.
    pub worker: Name,
    /// The restart of the agent; later ones are larger.
    pub incarnation: u64,
    /// The number of the report within the incarnation.
    pub sequence: u64,
    /// The restart of the worker; differs for each.
    pub boot: u64,
    /// The kinds that the worker serves; empty for every kind.
    pub kinds: Vec<Name>,
    /// What the worker can hold.
    pub capacity: Bundle,
    /// What batch work may still take.
    pub room: Bundle,
    /// Whether the worker takes no more work.
    pub leaving: bool,
    /// Every task that is held or not yet settled.
    pub tasks: Vec<Status>,
    /// The highest epoch that the agent has seen of each ledger.
    pub epochs: Vec<(u32, u64)>,
}

impl Report {
    /// The highest epoch of `ledger` that the agent has seen, 0 for none.
    pub fn epoch(&self, ledger: u32) -> u64 {
        let seen = self.epochs.iter().find(|(number, _)| *number == ledger);
        seen.map_or(0, |(_, epoch)| *epoch)
    }
}
