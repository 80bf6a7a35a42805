//! Settings of the retry budget.

use serde::{Deserialize, Serialize};

/// Limits on retries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Retries earned by each request, thousandths.
    pub share_milli: u32,
    /// Retries earned per second, independent of the requests.
    #[serde(rename = "floor_per_second")]
    pub minimum_per_second: u32,
    /// Maximum number of retries that the budget holds.
    pub burst: u32,
    /// Maximum number of attempts of a request, including the first.
    pub attempts: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self { share_milli: 150, minimum_per_second: 10, burst: 100, attempts: 3 }
    }
}
