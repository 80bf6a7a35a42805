//! Names one attempt of a job.

use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;

/// One attempt of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// The ledger of the job.
    pub ledger: u32,
    /// The job.
    pub job: Name,
    /// The number of the attempt, from 1.
    pub attempt: u32,
}
