//! Settings of shares.

use serde::{Deserialize, Serialize};

/// When a request is refused for the sake of others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Most watchers of all callers.
    pub watchers: u32,
    /// Quick requests in progress that a caller may always have.
    pub always: u32,
    /// How many times its fair share a caller may have while requests wait, thousandths.
    pub excess_milli: u32,
    /// Part of the time left that a request may be expected to wait before shares apply,
    /// thousandths.
    pub pressure_milli: u32,
    /// Part of the time left that a request may be expected to take at all, thousandths.
    pub hopeless_milli: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            watchers: 4_096,
            always: 8,
            excess_milli: 1_250,
            pressure_milli: 250,
            hopeless_milli: 1_500,
        }
    }
}
