use super::{Crash, Part, Restart};
use serde::{Deserialize, Serialize};

/// Fields of a report that the former version does not have.
///
/// Messages are encoded by position, so a report leaves them out as a whole while they have their
/// defaults.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Additions {
    /// Whether the agent refuses starts because of an evacuation, as the latest reply said.
    pub evacuated: bool,
    /// Crashes of the worker that no reply has confirmed as recorded, the earliest first.
    pub crashes: Vec<Crash>,
    /// Whether nothing listens at the worker's address; without it, a vacant worker may only be silent.
    pub gone: bool,
    /// Present while the worker's lists do not show what became of every run.
    pub part: Option<Part>,
    /// Present while the worker may have restarted. The last field, left out while it says nothing: messages
    /// are encoded by position.
    #[serde(skip_serializing_if = "Restart::is_default")]
    pub restart: Restart,
}

impl Additions {
    /// Returns whether all fields have their defaults.
    pub(super) fn is_default(&self) -> bool {
        *self == Self::default()
    }
}
