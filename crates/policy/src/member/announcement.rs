//! Announcement of a target by its agent.

use crate::route::Target;
use shallotflow_core::resources::Bundle;

/// Content of an agent's report about its target, without the load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The target.
    pub target: Target,
    /// Incarnation of the agent; increases with each restart.
    pub incarnation: u64,
    /// Sequence number of the report; increases within an incarnation.
    pub sequence: u64,
    /// Identifier of the worker's boot; changes with each restart of the worker.
    pub boot: u64,
    /// Total resources of the worker.
    pub capacity: Bundle,
    /// Whether the target accepts no new work.
    pub leaving: bool,
}
