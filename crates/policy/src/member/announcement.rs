//! What an agent says of its target.

use crate::route::Target;
use shallotflow_core::resources::Bundle;

/// What a report says of a target, apart from its load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The target.
    pub target: Target,
    /// Larger for each restart of the agent.
    pub incarnation: u64,
    /// Larger for each report of one incarnation.
    pub sequence: u64,
    /// Differs for each restart of the worker.
    pub boot: u64,
    /// What the worker can hold.
    pub capacity: Bundle,
    /// Whether it takes no new work.
    pub leaving: bool,
}
