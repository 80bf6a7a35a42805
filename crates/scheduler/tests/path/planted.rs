/// A fault that the oracle has to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Planted {
    /// A new owner starts tasks though agents that may run them have not reported.
    NoWaitForAgents,
    /// A start without an answer counts as not carried out.
    NoWithdrawal,
    /// A former owner goes on starting tasks.
    FormerOwnerPlaces,
    /// Workers are told to forget ends that the store does not hold.
    ForgetUnrecorded,
    /// Workers obey owners with a lower number.
    OldFence,
    /// Agents renew leases though no owner answers.
    EndlessLease,
}
