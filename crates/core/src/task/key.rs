//! The identity of a task.

use crate::name::Name;
use serde::{Deserialize, Serialize};
use std::fmt;

/// One attempt to run one job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The ledger that the job belongs to.
    pub ledger: u32,
    /// The job.
    pub job: Name,
    /// The attempt, counted from 1.
    pub attempt: u32,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.ledger, self.job, self.attempt)
    }
}
