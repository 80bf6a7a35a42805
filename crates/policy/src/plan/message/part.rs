use super::Run;
use serde::{Deserialize, Serialize};

/// What a report carries of a worker's lists that do not show what became of every run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Active runs that could be read; others may be active too.
    pub running: Vec<Run>,
    /// The last end before one that could not be read. Ends with higher numbers are recorded, but the worker
    /// keeps them until that one is known.
    pub last_end: Option<u64>,
}
