//! What the reply to a report says about the configuration.

/// The configuration part of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Notice {
    /// The revision in force here.
    pub revision: u64,
    /// Whether the agent's next report should carry its text.
    pub want: bool,
}
