//! Log levels.

/// The severity of a record, or the lowest severity that is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Nothing is written.
    Off,
    /// The process cannot continue.
    Critical,
    /// An operation failed.
    Error,
    /// A condition that may need attention.
    Warn,
    /// Events of interest to operators.
    Info,
    /// Details of interest to developers.
    Debug,
    /// All records.
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
