//! Settings of fair shares.

use serde::{Deserialize, Serialize};

/// Limits above which requests are refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Maximum number of watchers of all callers together.
    pub watchers: u32,
    /// Quick requests in progress that every caller may have regardless of its share.
    #[serde(rename = "always")]
    pub guaranteed: u32,
    /// Multiple of its fair share that a caller may have while requests wait, thousandths.
    pub excess_milli: u32,
    /// Expected wait above which shares apply, thousandths of the time left.
    pub pressure_milli: u32,
    /// Expected wait above which a request is refused, thousandths of the time left.
    #[serde(rename = "hopeless_milli")]
    pub max_wait_milli: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            watchers: 4_096,
            guaranteed: 8,
            excess_milli: 1_250,
            pressure_milli: 250,
            max_wait_milli: 1_500,
        }
    }
}
