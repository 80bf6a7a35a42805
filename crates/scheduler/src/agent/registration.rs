use shallotflow_policy::plan::message::Profile;

/// A registration of the worker beside the agent, as a heartbeat or a description of it contains it.
pub(super) struct Registration {
    /// The worker's description of itself.
    pub(super) profile: Profile,
    /// The number of the registration within one incarnation.
    pub(super) number: u64,
}
