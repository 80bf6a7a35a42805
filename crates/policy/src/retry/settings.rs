//! Settings of retries.

use serde::{Deserialize, Serialize};

/// How many retries there may be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Retries earned by a request, thousandths.
    pub share_milli: u32,
    /// Retries earned in a second without any request.
    pub floor_per_second: u32,
    /// Most retries that can be saved up.
    pub burst: u32,
    /// Most attempts of a request, the first included.
    pub attempts: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self { share_milli: 150, floor_per_second: 10, burst: 100, attempts: 3 }
    }
}
