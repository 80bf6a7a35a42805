use std::time::Duration;

/// Something that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A process is killed, and started again after a while.
    Kill(usize),
    /// A process is told to stop, and started again after a while.
    Stop(usize),
    /// A process stands still for a while.
    Pause(usize),
    /// Every chunk of bytes on a link is late for a while.
    Delay(usize, Duration),
    /// The connections of a link break.
    Reset(usize),
    /// A link passes nothing on for a while: there, back, or either.
    Silence(usize, bool, bool),
}

impl Fault {
    /// The kind, for the report.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Kill(_) => "kill",
            Self::Stop(_) => "stop",
            Self::Pause(_) => "pause",
            Self::Delay(..) => "delay",
            Self::Reset(_) => "reset",
            Self::Silence(_, true, true) => "silence",
            Self::Silence(..) => "one-way cut",
        }
    }
}
