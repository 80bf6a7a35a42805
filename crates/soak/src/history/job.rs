use shallotflow_core::graph::{Spec, State};

/// A job from the view of its caller.
#[derive(Clone, Debug, Default)]
pub struct Job {
    /// The submitted specification.
    pub spec: Spec,
    /// Whether the tasks of the job have to run until the end of the soak.
    pub lasting: bool,
    /// Whether the job was accepted.
    pub accepted: bool,
    /// Whether the outcome of an attempt to submit it is unknown.
    pub uncertain: bool,
    /// Whether a cancellation was sent.
    pub cancel_sent: bool,
    /// Whether a cancellation was confirmed.
    pub cancelled: bool,
    /// The most advanced state that a response has reported.
    pub last_state: Option<State>,
}
