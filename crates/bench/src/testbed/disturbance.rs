//! How kinds of work slow each other down.

use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;

/// The slowdown of one kind by each task of another kind on the same worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Disturbance {
    /// The kind that is slowed down.
    pub kind: Name,
    /// The kind that slows it down.
    #[serde(rename = "beside")]
    pub neighbor: Name,
    /// Additional service time per neighboring task, thousandths.
    pub slowdown_milli: u32,
}
