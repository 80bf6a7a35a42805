use super::registration::Registration;
use shallotflow_core::time::Time;

/// A registration of another incarnation than the known one, which no answer has confirmed yet.
pub(super) struct Claim {
    pub(super) registration: Registration,
    /// When it came; the answer to an earlier poll says nothing about it.
    pub(super) since: Time,
    /// Whether the next poll is one of the known incarnation, since the last check got no answer: the
    /// leases of that one are renewed meanwhile.
    pub(super) deferred: bool,
}
