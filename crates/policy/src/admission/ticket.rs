//! Work that asks for admission.

use shallotflow_core::class::Class;
use shallotflow_core::resources::Bundle;
use shallotflow_core::time::Time;

/// Tells one piece of work from any other of the same table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

/// One piece of work, waiting or running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// Its identity.
    pub id: Id,
    /// The class whose queue it waits in.
    pub class: Class,
    /// What it needs.
    pub need: Bundle,
    /// When it must have started.
    pub deadline: Time,
    /// When it was offered.
    pub offered: Time,
}
