//! How much a record matters.

/// The level of a record, or the least that is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Nothing is written.
    Off,
    /// The process cannot go on.
    Critical,
    /// Something failed.
    Error,
    /// Something may need attention.
    Warn,
    /// What operators want to know.
    Info,
    /// What developers want to know.
    Debug,
    /// Everything.
    Trace,
}

impl Level {
    /// Every level with its name.
    pub const NAMES: [(Self, &str); 7] = [
        (Self::Off, "off"),
        (Self::Critical, "critical"),
        (Self::Error, "error"),
        (Self::Warn, "warn"),
        (Self::Info, "info"),
        (Self::Debug, "debug"),
        (Self::Trace, "trace"),
    ];

    /// The level with this name.
    pub fn parse(name: &str) -> Option<Self> {
        Self::NAMES.iter().find(|(_, known)| *known == name).map(|(level, _)| *level)
    }
}
