use shallotflow_policy::plan::message::Profile;

/// A registration of the worker beside the agent, as a heartbeat or a description of it contains it.
pub(super) struct Registration {
    /// The worker's description of itself.
    pub(super) profile: Profile,
    /// The number of the registration within one incarnation.
    pub(super) number: u64,
}

/// What becomes of a registration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It describes the known incarnation and applies.
    Applied,
    /// It claims another incarnation, and applies once that one answers a poll.
    Claimed,
    /// It contradicts what is known.
    PassedOver,
}
