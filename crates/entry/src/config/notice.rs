//! The configuration part of the reply to a report.

/// The configuration part of the reply to a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Notice {
    /// The revision in force at this entry.
    pub revision: u64,
    /// Whether the agent should send its text with the next report.
    pub wants_text: bool,
}
