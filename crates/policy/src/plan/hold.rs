/// A rule by which the workers leave the tasks of an open step waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Hold {
    /// The tasks would disturb serving tasks wherever there is room.
    Disturbing,
    /// No worker has room.
    NoRoom,
    /// A slot in a rack is awaited.
    Rack,
    /// The workers with room pass the tasks over for another reason; mostly they have no idle processors.
    Busy,
}

impl Hold {
    /// All rules, in their order.
    pub(super) const ALL: [Self; 4] = [Self::Disturbing, Self::NoRoom, Self::Rack, Self::Busy];

    /// Returns the name in logs and metrics.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Disturbing => "disturbing",
            Self::NoRoom => "no-room",
            Self::Rack => "rack",
            Self::Busy => "busy",
        }
    }
}
