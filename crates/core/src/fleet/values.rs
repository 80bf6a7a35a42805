//! The values that defaults and exceptions set.

use crate::ini::codec::{Count, Flag, Percent, Span};
use crate::ini::{Key, Table, key};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The values of the fleet configuration; shares are in thousandths.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Values {
    /// Minimum share of a worker's slots reserved for quick work, thousandths.
    pub reserve: u32,
    /// Whether batch work may start.
    pub batch: bool,
    /// Share of the quick capacity that one caller may use under overload, thousandths.
    pub caller_share: u32,
    /// Maximum number of concurrent watch requests on a worker.
    pub watch_cap: u32,
    /// Default deadline of quick requests.
    pub quick_deadline: Duration,
    /// Number of retries allowed per thousand quick requests.
    pub retry_budget: u32,
    /// Default priority of batch work.
    pub priority: u8,
    /// Whether the worker drains: it accepts no new work and finishes or checkpoints running work.
    pub drain: bool,
}

impl Default for Values {
    fn default() -> Self {
        Self {
            reserve: 250,
            batch: true,
            caller_share: 500,
            watch_cap: 32,
            quick_deadline: Duration::from_secs(2),
            retry_budget: 150,
            priority: 100,
            drain: false,
        }
    }
}

const KEYS: &[Key<Values>] = &[
    key!("defaults", reserve: Percent, "Minimum share of a worker's slots reserved for quick work.", 0..=1000),
    key!("defaults", batch: Flag, "Whether batch work may start."),
    key!("defaults", caller_share: Percent, "Share of the quick capacity that one caller may use under overload.", 1..=1000),
    key!("defaults", watch_cap: Count<u32>, "Maximum number of concurrent watch requests on a worker.", 0..=1_000_000),
    key!("defaults", quick_deadline: Span, "Default deadline of quick requests.", Duration::from_millis(1)..=Duration::from_secs(3600)),
    key!("defaults", retry_budget: Percent, "Retries allowed, as a share of quick requests.", 0..=1000),
    key!("defaults", priority: Count<u8>, "Default priority of batch work; 200 and above are urgent."),
    key!("defaults", drain: Flag, "Whether the worker drains: it accepts no new work, and running work is finished or checkpointed."),
];

impl Values {
    /// The keys as a table; exceptions override the same keys.
    pub const TABLE: Table<Self> = Table { keys: KEYS, required: &[], check: |_, _| Ok(()) };
}
