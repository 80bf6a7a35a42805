//! The values that defaults and exceptions set.

use crate::ini::codec::{Count, Flag, Percent, Span};
use crate::ini::{Key, Table, key};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Every value of the fleet configuration; shares are in thousandths.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Values {
    /// Share of a worker's slots that is always kept for quick work, thousandths.
    pub reserve: u32,
    /// Whether batch work may start.
    pub batch: bool,
    /// Share of the quick capacity that one caller may use under overload, thousandths.
    pub caller_share: u32,
    /// Most watching requests held at a worker.
    pub watch_cap: u32,
    /// Deadline of a quick request that names none.
    pub quick_deadline: Duration,
    /// Retries allowed for each thousand quick requests.
    pub retry_budget: u32,
    /// Priority of batch work that names none.
    pub priority: u8,
    /// Whether the worker leaves: it takes no new work and finishes or checkpoints the rest.
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
    key!("defaults", reserve: Percent, "Share of a worker's slots always kept for quick work.", 0..=1000),
    key!("defaults", batch: Flag, "Whether batch work may start."),
    key!("defaults", caller_share: Percent, "Share of the quick capacity that one caller may use under overload.", 1..=1000),
    key!("defaults", watch_cap: Count<u32>, "Most watching requests held at a worker.", 0..=1_000_000),
    key!("defaults", quick_deadline: Span, "Deadline of a quick request that names none.", Duration::from_millis(1)..=Duration::from_secs(3600)),
    key!("defaults", retry_budget: Percent, "Retries allowed, as a share of quick requests.", 0..=1000),
    key!("defaults", priority: Count<u8>, "Priority of batch work that names none; from 200 on it is urgent."),
    key!("defaults", drain: Flag, "Whether the worker leaves: no new work, and what runs is finished or checkpointed."),
];

impl Values {
    /// The keys as a table; exceptions override the same keys.
    pub const TABLE: Table<Self> = Table { keys: KEYS, required: &[], check: |_, _| Ok(()) };
}
