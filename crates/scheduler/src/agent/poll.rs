use shallotflow_policy::plan::Fence;
use shallotflow_policy::plan::message::Incarnation;

/// The parameters of a poll, which the agent's table decides.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The incarnation that is asked; `None` asks whichever runs.
    pub incarnation: Option<Incarnation>,
    /// Whether a registration has claimed this incarnation and the poll checks it. Such a poll does not
    /// wait.
    pub checks_claim: bool,
    /// The end of the leases that it renews, in milliseconds on the worker's clock.
    pub lease_ms: Option<u64>,
    /// Ends up to this number are recorded and may be forgotten.
    pub recorded: u64,
    /// The fence of the poll.
    pub fence: Fence,
}
