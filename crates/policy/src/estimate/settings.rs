//! How far declarations are corrected.

use serde::{Deserialize, Serialize};

/// Bounds of learning.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Measurements of a kind before its declarations are corrected.
    pub samples: u32,
    /// Thousandths of the way that one measurement moves a mean.
    pub rate_milli: u32,
    /// Thousandths of the largest measured size that are set aside.
    pub margin_milli: u32,
    /// Thousandths by which one measurement lowers the largest size.
    pub fall_milli: u32,
    /// How many times its expected run time a task runs before it counts as a straggler.
    pub straggler: u32,
    /// Most kinds that are kept; the one that was not measured for longest goes first.
    pub kinds: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            samples: 8,
            rate_milli: 100,
            margin_milli: 1_150,
            fall_milli: 5,
            straggler: 4,
            kinds: 256,
        }
    }
}
