use std::time::Duration;

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills a process, and starts it again after the duration of the fault.
    Kill(usize),
    /// Asks a process to stop, and starts it again after the duration of the fault.
    Stop(usize),
    /// Pauses a process.
    Pause(usize),
    /// Delays every chunk of bytes on a link.
    Delay(usize, Duration),
    /// Breaks the open connections of a link.
    Reset(usize),
    /// Holds back all bytes on a link: forward, backward or both.
    Silence(usize, bool, bool),
    /// Loses all later bytes of the open connections of a link; later connections work.
    LoseOpen(usize),
    /// Evacuates a failure domain, by an operator's request.
    Evacuate(usize),
}

impl Fault {
    /// The kind of the fault, for the report.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Kill(_) => "kill",
            Self::Stop(_) => "stop",
            Self::Pause(_) => "pause",
            Self::Delay(..) => "delay",
            Self::Reset(_) => "reset",
            Self::Silence(_, true, true) => "silence",
            Self::LoseOpen(_) => "lost connections",
            Self::Evacuate(_) => "evacuate",
            Self::Silence(..) => "one-way cut",
        }
    }
}
