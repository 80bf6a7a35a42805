//! Tickets of work that requests admission.

use shallotflow_core::class::Class;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;

/// Identifies a ticket within its table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

/// A unit of work, waiting or running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The identifier.
    pub id: Id,
    /// The class of the work, which selects its queue.
    pub class: Class,
    /// The resources that it needs.
    pub need: Bundle,
    /// Latest time for its start.
    pub deadline: Time,
    /// Time at which it was offered.
    pub offered: Time,
}
