use shallotflow_core::graph::{Spec, State};

/// A job as its caller knows it.
#[derive(Clone, Debug, Default)]
pub struct Order {
    /// Transition was handed in.
    pub spec: Spec,
    /// Whether it was accepted.
    pub accepted: bool,
    /// Whether an attempt to hand it in had no certain answer.
    pub uncertain: bool,
    /// Whether a cancel was sent.
    pub cancel_sent: bool,
    /// Whether a cancel was confirmed.
    pub cancelled: bool,
    /// The state that was shown last.
    pub shown: Option<State>,
}
