use serde::{Deserialize, Serialize};
use shallotflow_core::name::Name;

/// One life of a worker; a worker that starts again holds nothing of before.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lifetime {
    /// The worker's identifier; a later life may have the same.
    pub id: Name,
    /// When this life began, milliseconds since 1970.
    pub born_ms: u64,
}
