use super::{Crash, Part};
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
    #[serde(skip_serializing_if = "Option::is_none")]
    pub part: Option<Part>,
}

impl Additions {
    /// Returns whether all fields have their defaults.
    pub(super) fn is_default(&self) -> bool {
        *self == Self::default()
    }
}
